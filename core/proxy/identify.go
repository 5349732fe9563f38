package proxy

import (
	"basilmill/core/account"
	"basilmill/core/catalog"
	"basilmill/core/exchange"
)

// identify sets the account of the next transaction or single statement according to the
// configuration in force. It returns the refusal of a caller that no account is known for.
func (s *Session) identify() (failure *exchange.Error) {
	s.account, failure = resolveAccount(s.proxy.config.Cache.View(), s.database, s.key)
	return failure
}

// CheckKey returns the refusal that a request outside a transaction would get, nil if the
// caller is known or needs no key. Unlike the other methods of a Session it may be called
// at any time.
func (s *Session) CheckKey() *exchange.Error {
	_, failure := resolveAccount(s.proxy.config.Cache.View(), s.database, s.key)
	return failure
}

// resolveAccount returns the account that the key of a database's caller identifies; empty
// without accounts, and for callers of a public route without a known key. A database
// without a route is refused elsewhere.
func resolveAccount(view *catalog.View, database string, key catalog.KeyDigest) (account.ID, *exchange.Error) {
	if view.Config == nil || view.Config.Accounts == nil {
		return "", nil
	}
	if id, ok := view.Config.Accounts.ByKey(key); ok {
		return id, nil
	}
	if route, ok := view.Route(database); !ok || route.Public {
		return "", nil
	}
	return "", &exchange.Error{Code: exchange.Unauthorised, Text: "no account has this key"}
}
