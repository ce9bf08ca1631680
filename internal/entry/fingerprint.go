package entry

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net/http"
	"strconv"

	"github.com/birchdrift/birchdrift/core/crash"
)

// fingerprint returns a hash that is the same for all retries of a request by its
// caller, at any instance. It covers the method, the host, the path with its query,
// the caller's credentials and the body. Other headers are left out because callers
// set call IDs, deadlines and length hints anew with each retry. Of a streamed body it
// covers the beginning and the Content-Length, if stated.
//
// Callers without credentials are not distinguished by address, since a retry may come
// through another gateway.
func fingerprint(r *http.Request, b *Body) crash.Fingerprint {
	h := sha256.New()
	for _, part := range []string{r.Method, r.Host, r.RequestURI, r.Header.Get("Authorization")} {
		// Writes to a hash never fail.
		_, _ = io.WriteString(h, strconv.Itoa(len(part))+":"+part)
	}
	if b.Streamed() {
		_, _ = io.WriteString(h, strconv.FormatInt(r.ContentLength, 10)+":")
	}
	_, _ = h.Write(b.buffered)
	return crash.Fingerprint(binary.BigEndian.Uint64(h.Sum(nil)))
}
