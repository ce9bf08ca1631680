package environment

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/gravitational/trace"
)

// Instances exchange a configuration as the environment's store holds it, but
// compressed: it may have thousands of routes, and the bandwidth between instances
// may be low.

// maxDecompressed is the largest size of a decompressed configuration, in bytes.
const maxDecompressed = 64 << 20

// compress returns the compressed form of a configuration as a store holds it.
func compress(data []byte) []byte {
	var buf bytes.Buffer
	zip := gzip.NewWriter(&buf)
	// Writes to a bytes.Buffer do not fail.
	_, _ = zip.Write(data)
	_ = zip.Close()
	return buf.Bytes()
}

// decompress returns the configuration that compress was given.
func decompress(data []byte) ([]byte, error) {
	zip, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, trace.Wrap(err, "not a compressed configuration")
	}
	out, err := io.ReadAll(io.LimitReader(zip, maxDecompressed))
	return out, trace.Wrap(err, "reading a compressed configuration")
}
