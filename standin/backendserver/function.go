package backendserver

import (
	"context"
	"time"

	"basilmill/core/group"
	"basilmill/standin/internal/sql"
)

// function is a function that a SELECT can call. A function with columns is
// called in FROM and returns one row; any other returns one value.
type function struct {
	args    []sql.Type
	columns []sql.Column
	result  sql.Type
	call    func(ctx context.Context, s *session, args row) (row, error)
}

// countRows is the aggregate count(*), which selectTable evaluates.
var countRows = sql.Name{Schema: "public", Name: "count"}

var functions = map[sql.Name]function{
	countRows:                               {result: sql.Int8},
	{Schema: "public", Name: "pg_sleep"}:    {args: []sql.Type{sql.Float8}, result: sql.Void, call: callSleep},
	{Schema: "basilmill", Name: "status"}:   {columns: statusColumns, call: callStatus},
	{Schema: "basilmill", Name: "position"}: {columns: positionColumns, call: callPosition},
	{Schema: "basilmill", Name: "promote"}: {
		args: []sql.Type{sql.Int8, sql.Int8, sql.Text}, result: sql.Int8, call: callPromote,
	},
	{Schema: "basilmill", Name: "set_successor"}: {
		args: []sql.Type{sql.Int8, sql.Int8, sql.Text}, result: sql.Int8, call: callSetSuccessor,
	},
	{Schema: "basilmill", Name: "follow"}: {
		args: []sql.Type{sql.Int8, sql.Text, sql.Text}, result: sql.Int8, call: callFollow,
	},
	{Schema: "basilmill", Name: "quiesce"}: {args: []sql.Type{sql.Int8}, result: sql.Int8, call: callQuiesce},
}

var statusColumns = []sql.Column{
	{Name: "server", Type: sql.Text},
	{Name: "role", Type: sql.Text},
	{Name: "term", Type: sql.Int8},
	{Name: "term_start", Type: sql.Int8},
	{Name: "generation", Type: sql.Int8},
	{Name: "successor", Type: sql.Text},
	{Name: "received", Type: sql.Int8},
	{Name: "applied", Type: sql.Int8},
	{Name: "leaving", Type: sql.Bool},
}

var positionColumns = []sql.Column{
	{Name: "term", Type: sql.Int8},
	{Name: "generation", Type: sql.Int8},
	{Name: "offset", Type: sql.Int8},
}

func callStatus(_ context.Context, s *session, _ row) (row, error) {
	status := s.server.Status()
	return row{
		sql.TextValue(status.Server),
		sql.TextValue(status.Role.String()),
		sql.IntValue(status.Term),
		sql.IntValue(status.TermStart),
		sql.IntValue(status.Generation),
		sql.TextValue(status.Successor),
		sql.IntValue(status.Received),
		sql.IntValue(status.Applied),
		sql.BoolValue(status.Leaving),
	}, nil
}

func callPosition(_ context.Context, s *session, _ row) (row, error) {
	position, generation, err := s.server.position()
	return row{sql.IntValue(position.Term), sql.IntValue(generation), sql.IntValue(position.Offset)}, err
}

func callPromote(_ context.Context, s *session, args row) (row, error) {
	offset, err := s.server.promote(
		group.Term(args[0].Int), group.Generation(args[1].Int), group.ServerID(args[2].Text))
	return row{sql.IntValue(offset)}, err
}

func callSetSuccessor(_ context.Context, s *session, args row) (row, error) {
	offset, err := s.server.setSuccessor(
		group.Term(args[0].Int), group.Generation(args[1].Int), group.ServerID(args[2].Text))
	return row{sql.IntValue(offset)}, err
}

func callFollow(_ context.Context, s *session, args row) (row, error) {
	offset, err := s.server.follow(group.Term(args[0].Int), group.ServerID(args[1].Text), args[2].Text)
	return row{sql.IntValue(offset)}, err
}

func callQuiesce(ctx context.Context, s *session, args row) (row, error) {
	offset, err := s.server.quiesce(ctx, group.Term(args[0].Int))
	return row{sql.IntValue(offset)}, err
}

func callSleep(ctx context.Context, _ *session, args row) (row, error) {
	err := sleep(ctx, time.Duration(args[0].Float*float64(time.Second)))
	return row{{Valid: true, Type: sql.Void}}, err
}
