package environment

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/config"
)

// TestConfigurationsTravelCompressed checks that a compressed configuration is less than
// an eighth of its size in the store and decompresses to the same bytes.
func TestConfigurationsTravelCompressed(t *testing.T) {
	is := is.New(t)
	route := []byte(`{"name":"r","host":"h.example","path_prefix":"/a/b/","timeout_ms":5000},`)
	stored := bytes.Repeat(route, 2000)
	compressed := compress(stored)
	is.True(len(compressed)*8 < len(stored))
	var decoded []byte
	store := Store{Decode: func(data []byte) (config.Document, error) {
		decoded = data
		return config.Document{Revision: 3}, nil
	}}
	d := &driver{store: store}
	doc, err := d.decode(compressed)
	is.NoErr(err)
	is.Equal(doc.Revision, uint64(3))
	is.Equal(decoded, stored)
	_, err = d.decode(stored)
	is.True(err != nil) // an uncompressed configuration is refused
}
