package proxy

import (
	"crypto/sha256"
	"encoding/base64"

	"basilmill/core/exchange"
)

// preparedStatement is a prepared statement of a session.
type preparedStatement struct {
	content exchange.PreparedStatement
	// sharedName is its name on connections to backend servers.
	sharedName string
}

func newPreparedStatement(content exchange.PreparedStatement) preparedStatement {
	return preparedStatement{content: content, sharedName: sharedPreparedName(content)}
}

// sharedPreparedName returns a name that is derived from the content, so that sessions
// that prepare the same statement share it on a connection. The digest must resist
// collisions, because callers choose the content.
func sharedPreparedName(content exchange.PreparedStatement) string {
	mode := "read "
	if content.Writes {
		mode = "write "
	}
	digest := sha256.Sum256([]byte(mode + content.Text))
	return "p" + base64.RawURLEncoding.EncodeToString(digest[:])
}
