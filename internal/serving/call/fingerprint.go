package call

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"io"
)

// fingerprintBytes is the length of a fingerprint before it is encoded.
const fingerprintBytes = 8

// Fingerprint identifies a request by its content, in hexadecimal: a team's calls with the same method, host, URI and body have the
// same one.
func (c Call) Fingerprint(team string) string {
	h := sha256.New()
	for _, field := range []string{c.Method, c.Host, c.URI, team} {
		writeField(h, field)
	}
	h.Write(c.Body)
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}

// writeField adds a field that contains no zero byte, so that its end is known.
func writeField(h hash.Hash, field string) {
	// A hash never returns an error.
	_, _ = io.WriteString(h, field)
	h.Write([]byte{0})
}
