package peer

import (
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"
)

// headerSize is the size in bytes of a message's type and length.
const headerSize = 5

// decodeFrontend decodes consecutive frontend messages. Unlike
// pgproto3.Backend, which reuses its message values, it returns a new value for
// each message, so that a whole batch can be kept.
func decodeFrontend(encoded []byte) (batch []pgproto3.FrontendMessage, err error) {
	for len(encoded) > 0 {
		if len(encoded) < headerSize {
			return nil, eris.New("truncated message header")
		}
		kind := encoded[0]
		size := int(binary.BigEndian.Uint32(encoded[1:headerSize])) + 1
		if size < headerSize || size > len(encoded) {
			return nil, eris.Errorf("message %q of %d bytes is truncated", kind, size)
		}
		message := newFrontendMessage(kind)
		if message == nil {
			return nil, eris.Errorf("message %q cannot be forwarded", kind)
		}
		if err := message.Decode(encoded[headerSize:size]); err != nil {
			return nil, eris.Wrapf(err, "decode message %q", kind)
		}
		batch = append(batch, message)
		encoded = encoded[size:]
	}
	return batch, nil
}

func newFrontendMessage(kind byte) pgproto3.FrontendMessage {
	switch kind {
	case 'B':
		return &pgproto3.Bind{}
	case 'C':
		return &pgproto3.Close{}
	case 'D':
		return &pgproto3.Describe{}
	case 'E':
		return &pgproto3.Execute{}
	case 'F':
		return &pgproto3.FunctionCall{}
	case 'H':
		return &pgproto3.Flush{}
	case 'P':
		return &pgproto3.Parse{}
	case 'Q':
		return &pgproto3.Query{}
	case 'S':
		return &pgproto3.Sync{}
	case 'c':
		return &pgproto3.CopyDone{}
	case 'd':
		return &pgproto3.CopyData{}
	case 'f':
		return &pgproto3.CopyFail{}
	default:
		return nil
	}
}
