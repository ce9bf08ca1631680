package entry

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net/http"
	"strconv"

	"github.com/birchdrift/birchdrift/core/crash"
)

// fingerprint returns what identifies a request over all its tries, at whichever
// instance: the method, the host, the path with its query, the caller's
// credentials and the body. The other headers are left out: callers set their
// identities, deadlines and guesses anew with each try. Of a body that is streamed
// the beginning counts, and its length where that is stated.
//
// A caller without credentials is not told from others by its address, since one
// that comes again may come through another gateway.
func fingerprint(r *http.Request, b *Body) crash.Fingerprint {
	h := sha256.New()
	for _, part := range []string{r.Method, r.Host, r.RequestURI, r.Header.Get("Authorization")} {
		// A hash takes whatever is written to it.
		_, _ = io.WriteString(h, strconv.Itoa(len(part))+":"+part)
	}
	if b.Streamed() {
		_, _ = io.WriteString(h, strconv.FormatInt(r.ContentLength, 10)+":")
	}
	_, _ = h.Write(b.buffered)
	return crash.Fingerprint(binary.BigEndian.Uint64(h.Sum(nil)))
}
