// Package account defines client accounts: the templates that operators
// submit, their validation and the history of their changes.
package account

// ID names a client account.
type ID string
