// Package account defines client accounts: the templates with which operators
// configure them, the validation of the templates and the history of their
// changes.
package account

// ID is the name of a client account.
type ID string
