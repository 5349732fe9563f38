package statement_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"basilmill/core/statement"
)

// Guards against a write that is routed as a read and against session state that
// stays on a connection shared by several sessions.
//
//nolint:misspell // SQL keywords
func TestClassify(t *testing.T) {
	type want = statement.Statement
	key := statement.Setting{Name: statement.RequestKey, Value: "order 7"}
	cases := map[string]want{
		"":                          {Class: statement.Read},
		"-- ping":                   {Class: statement.Read},
		"/* a /* b */ */ SELECT 1;": {Class: statement.Read},
		"select count(*) from t where a in (select ';update' from b)": {Class: statement.Read},
		"select place_order(1)":                                  {Class: statement.Read, CallsFunction: true},
		"select * from t for update":                             {Class: statement.Write},
		"select * from t for no key update":                      {Class: statement.Write},
		"select * into x from t":                                 {Class: statement.Write},
		"with x as (delete from t returning *) select * from x":  {Class: statement.Write},
		"explain analyze select 1":                               {Class: statement.Write},
		"explain select 1":                                       {Class: statement.Read},
		"do $$ begin; delete from t; end $$":                     {Class: statement.Write},
		"copy t from stdin":                                      {Class: statement.Write, CopyIn: true},
		"select pg_advisory_lock(1)":                             {Class: statement.Write, CallsFunction: true, Pins: true},
		"select pg_advisory_xact_lock(1)":                        {Class: statement.Write, CallsFunction: true},
		"select set_config('basilmill.request_key', 'k', false)": {Class: statement.Other, CallsFunction: true, Pins: true, SetsRequestKey: true},
		"create temp table x ()":                                 {Class: statement.Write, Pins: true},
		"create table x (a int, temp int)":                       {Class: statement.Write},
		"select temp from weather":                               {Class: statement.Read},
		"set timezone = 'UTC'":                                   {Class: statement.SessionSetting, Pins: true},
		"set local timezone = 'UTC'":                             {Class: statement.SessionSetting},
		"listen c":                                               {Class: statement.SessionSetting, Pins: true},
		"prepare p as select 1":                                  {Class: statement.SessionSetting, Pins: true},
		"discard all":                                            {Class: statement.SessionSetting, Unpins: true},
		"deallocate all":                                         {Class: statement.SessionSetting, Deallocates: true},
		`deallocate "P"`:                                         {Class: statement.SessionSetting, Deallocates: true, Deallocated: "P"},
		"begin isolation level serializable read only":           {Class: statement.Begin, ReadOnly: true},
		"start transaction":                                      {Class: statement.Begin},
		"END":                                                    {Class: statement.Commit, EndsTransaction: true},
		"rollback to savepoint a":                                {Class: statement.Other},
		"abort":                                                  {Class: statement.Rollback, EndsTransaction: true},
		"commit prepared 'x'":                                    {Class: statement.Write},
		"prepare transaction 'x'":                                {Class: statement.Commit, EndsTransaction: true},
		"SET Basilmill.request_key TO 'order 7'":                 {Class: statement.KeyedSetting, Setting: key},
		"show basilmill.token":                                   {Class: statement.KeyedSetting, Setting: statement.Setting{Name: statement.Token, Show: true}},
		"begin; select 1":                                        {Class: statement.Other, Multiple: true},
		"select 1; select 2":                                     {Class: statement.Read, Multiple: true},
		"select 1; delete from t; commit":                        {Class: statement.Other, Multiple: true, EndsTransaction: true},
		"set basilmill.request_key = 'k'; insert into t values (1)": {Class: statement.Other, Multiple: true, SetsRequestKey: true},
		`select 'a\'; delete from t; --'`:                           {Class: statement.Other, Pins: true, Multiple: true, EndsTransaction: true},
		"select 'open":                                              {Class: statement.Other, Pins: true, Multiple: true, EndsTransaction: true},
		"frobnicate":                                                {Class: statement.Other, Pins: true},
	}
	for sql, expected := range cases {
		assert.DeepEqual(t, statement.Classify(sql), expected)
	}
}

// Guards against a panic or an endless loop on malformed text.
func FuzzClassify(f *testing.F) {
	for _, sql := range []string{"set basilmill.request_key", `set "basilmill.token"`, "e'\\", "$a$", "/*", `"`, "select set_config(", "show a."} {
		f.Add(sql)
	}
	f.Fuzz(func(_ *testing.T, sql string) { statement.Classify(sql) })
}
