package config

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"

	"gopkg.in/yaml.v3"

	"github.com/birchdrift/birchdrift/core/code"
)

// MaxEncodedBytes is the size of the largest value that the platform's
// key-value service stores, in bytes.
const MaxEncodedBytes = 1 << 20

// maxDecoded is the maximum size in bytes of a configuration that Decode
// decompresses, so that a small malicious value cannot exhaust an instance's
// memory.
const maxDecoded = 16 << 20

// A File is a document as an operator wrote it, with the line of each of its
// parts.
type File struct {
	Document Document
	root     *yaml.Node
}

// Parse parses a configuration in YAML, or in JSON as its subset. It returns an
// error with its line for each unknown field and malformed value.
func Parse(data []byte) (File, []*code.Error) {
	var root yaml.Node
	if err := yaml.Unmarshal(data, &root); err != nil {
		return File{}, []*code.Error{syntaxError(err.Error())}
	}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	var doc Document
	err := dec.Decode(&doc)
	if errors.Is(err, io.EOF) {
		return File{}, []*code.Error{code.Errorf(code.ConfigSyntax, "the configuration document is empty")}
	}
	var typeErr *yaml.TypeError
	if errors.As(err, &typeErr) {
		var faults []*code.Error
		for _, msg := range typeErr.Errors {
			faults = append(faults, syntaxError(msg))
		}
		return File{}, faults
	}
	if err != nil {
		return File{}, []*code.Error{syntaxError(err.Error())}
	}
	return File{Document: doc, root: &root}, nil
}

var linePattern = regexp.MustCompile(`line (\d+): `)

// syntaxError converts an error message of the YAML library to a numbered error.
func syntaxError(msg string) *code.Error {
	e := &code.Error{Code: code.ConfigSyntax, Detail: strings.TrimPrefix(msg, "yaml: ")}
	if m := linePattern.FindStringSubmatch(msg); m != nil {
		e.Line, _ = strconv.Atoi(m[1])
		e.Detail = strings.Replace(e.Detail, m[0], "", 1)
	}
	if strings.Contains(msg, "not found in type") {
		e.Code = code.ConfigUnknownField
	}
	return e
}

// lineAt returns the line of the node at path, which consists of field names and
// indices. If there is no such node, it returns the line of the nearest ancestor
// that exists.
func (f File) lineAt(path ...any) int {
	node := f.root
	if node == nil {
		return 0
	}
	if node.Kind == yaml.DocumentNode {
		node = node.Content[0]
	}
	for _, step := range path {
		next := childNode(node, step)
		if next == nil {
			break
		}
		node = next
	}
	return node.Line
}

func childNode(node *yaml.Node, step any) *yaml.Node {
	switch s := step.(type) {
	case int:
		if node.Kind == yaml.SequenceNode && s < len(node.Content) {
			return node.Content[s]
		}
	case string:
		if node.Kind != yaml.MappingNode {
			return nil
		}
		for i := 0; i+1 < len(node.Content); i += 2 {
			if node.Content[i].Value == s {
				return node.Content[i+1]
			}
		}
	}
	return nil
}

// pathString formats a path, such as "services[2].versions[0].model".
func pathString(path ...any) string {
	var b strings.Builder
	for _, step := range path {
		switch s := step.(type) {
		case int:
			fmt.Fprintf(&b, "[%d]", s)
		case string:
			if b.Len() > 0 {
				b.WriteByte('.')
			}
			b.WriteString(s)
		}
	}
	return b.String()
}

// Encode returns the document in its stored form, gzipped YAML. It fails with
// ConfigTooLarge if that is larger than MaxEncodedBytes.
func (d Document) Encode() ([]byte, error) {
	text, err := yaml.Marshal(d)
	if err != nil {
		return nil, code.Errorf(code.Internal, "encoding the configuration: %v", err)
	}
	var buf bytes.Buffer
	zip := gzip.NewWriter(&buf)
	if _, err := zip.Write(text); err != nil {
		return nil, code.Errorf(code.Internal, "compressing the configuration: %v", err)
	}
	if err := zip.Close(); err != nil {
		return nil, code.Errorf(code.Internal, "compressing the configuration: %v", err)
	}
	if buf.Len() > MaxEncodedBytes {
		return nil, code.Errorf(code.ConfigTooLarge, "the encoded configuration has %d bytes, at most %d are allowed", buf.Len(), MaxEncodedBytes)
	}
	return buf.Bytes(), nil
}

// Decode decodes a document that Encode wrote. Unlike Parse, it ignores unknown
// fields: an older instance must continue to serve when a newer birchctl writes
// fields that it does not know.
func Decode(data []byte) (Document, error) {
	zip, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return Document{}, code.Errorf(code.ConfigSyntax, "decompressing the stored configuration: %v", err)
	}
	text, err := io.ReadAll(io.LimitReader(zip, maxDecoded))
	if err != nil {
		return Document{}, code.Errorf(code.ConfigSyntax, "decompressing the stored configuration: %v", err)
	}
	var doc Document
	if err := yaml.Unmarshal(text, &doc); err != nil {
		return Document{}, syntaxError(err.Error())
	}
	return doc, nil
}

// YAML returns the document as YAML text for operators.
func (d Document) YAML() ([]byte, error) { return yaml.Marshal(d) }
