package caller

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"slices"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// outcomeSeparator separates the lines of a stored outcome.
	outcomeSeparator = "\n"
	// digestsPrefix begins the last line of a stored outcome, which holds the digests.
	// Hosts of earlier versions ignore that line and store none.
	digestsPrefix = "sha256 "
)

// keyedOutcome is the outcome of the first run with a request key, or the part of it that has
// not been replayed yet.
type keyedOutcome struct {
	// tags are the command tags of the writes.
	tags []string
	// digests are those of the contents of the writes; none if a host of an earlier version
	// stored the outcome.
	digests []string
}

// decodeOutcome decodes the text that is stored with a key.
func decodeOutcome(text string) (o keyedOutcome) {
	o.tags = strings.Split(text, outcomeSeparator)
	last := len(o.tags) - 1
	if digests, ok := strings.CutPrefix(o.tags[last], digestsPrefix); ok {
		o.tags, o.digests = o.tags[:last], strings.Fields(digests)
	}
	return o
}

// text returns the text that is stored with a key.
func (o keyedOutcome) text() string {
	lines := slices.Clone(o.tags)
	if len(o.digests) > 0 {
		lines = append(lines, digestsPrefix+strings.Join(o.digests, " "))
	}
	return strings.Join(lines, outcomeSeparator)
}

// add adds the writes of a batch. Those that had an error, or come after one, have no tag.
func (o *keyedOutcome) add(tags []string, steps []step) {
	o.tags = append(o.tags, tags...)
	digests := writeDigests(steps)
	o.digests = append(o.digests, digests[:min(len(tags), len(digests))]...)
}

// replay replaces the writes of a batch with the stored answers. It returns false if they are
// not the writes of the first run.
func (o *keyedOutcome) replay(steps []step) (replayed []step, ok bool) {
	digests := writeDigests(steps)
	if len(o.tags) < len(digests) {
		return nil, false
	}
	if len(o.digests) > 0 {
		if len(o.digests) < len(digests) || !slices.Equal(o.digests[:len(digests)], digests) {
			return nil, false
		}
		o.digests = o.digests[len(digests):]
	}
	for _, st := range steps {
		if st.write {
			st = step{localMessages: []pgproto3.BackendMessage{commandComplete(o.tags[0])}}
			o.tags = o.tags[1:]
		}
		replayed = append(replayed, st)
	}
	return replayed, true
}

// writeDigests returns a digest of the text and the parameters of each write of a batch, in
// order. Names of statements and the formats of results may differ between two runs.
func writeDigests(steps []step) (digests []string) {
	queries, portals := map[string]string{}, map[string]*pgproto3.Bind{}
	for _, st := range steps {
		switch m := st.message.(type) {
		case *pgproto3.Parse:
			queries[m.Name] = m.Query
		case *pgproto3.Bind:
			portals[m.DestinationPortal] = m
		case *pgproto3.Query:
			if st.write {
				digests = append(digests, digestWrite(m.String, &pgproto3.Bind{}))
			}
		case *pgproto3.Execute:
			if bind, ok := portals[m.Portal]; st.write && ok {
				digests = append(digests, digestWrite(queries[bind.PreparedStatement], bind))
			} else if st.write {
				// The portal was opened by an earlier batch of the transaction.
				digests = append(digests, digestWrite(m.Portal, &pgproto3.Bind{}))
			}
		}
	}
	return digests
}

// digestWrite returns the digest of a query with its parameters.
func digestWrite(query string, bind *pgproto3.Bind) string {
	h := sha256.New()
	addField := func(value []byte) {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(value))))
		h.Write(value)
	}
	addField([]byte(query))
	for _, format := range bind.ParameterFormatCodes {
		h.Write(binary.BigEndian.AppendUint16(nil, uint16(format)))
	}
	for _, value := range bind.Parameters {
		// A null differs from an empty value.
		if value == nil {
			h.Write([]byte{0})
			continue
		}
		h.Write([]byte{1})
		addField(value)
	}
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil))
}
