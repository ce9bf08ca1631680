package environment

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/gravitational/trace"
)

// A configuration that came from an environment's store travels between
// instances as the store holds it, compressed: it may have thousands of routes,
// and links may be narrow.

// maxDecompressed bounds a configuration, in bytes.
const maxDecompressed = 64 << 20

// compress compresses a configuration as a store holds it.
func compress(data []byte) []byte {
	var buf bytes.Buffer
	zip := gzip.NewWriter(&buf)
	// Writes to a buffer cannot fail.
	_, _ = zip.Write(data)
	_ = zip.Close()
	return buf.Bytes()
}

// decompress undoes pack.
func decompress(data []byte) ([]byte, error) {
	zip, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, trace.Wrap(err, "not a packed configuration")
	}
	out, err := io.ReadAll(io.LimitReader(zip, maxDecompressed))
	return out, trace.Wrap(err, "reading a packed configuration")
}
