package settings

import (
	"os"

	"gopkg.in/yaml.v3"

	"github.com/birchdrift/birchdrift/core/code"
)

// maxFileSize bounds the settings file, in bytes.
const maxFileSize = 1 << 20

// A Source is where settings come from: flags and variables that were given,
// then the settings file, then the defaults.
type Source struct {
	Path  string // of the settings file, "" for none
	Given func(name string) (value string, ok bool)
}

// Read reads the file and checks every setting; it returns all faults and the
// file's bytes. Names that the file has and the table has not are passed over:
// an older program must start with a newer file.
func (s Source) Read() (Settings, []byte, []*code.Error) {
	data, values, fault := s.readFile()
	if fault != nil {
		return Settings{}, data, []*code.Error{fault}
	}
	set, faults := Parse(func(name string) string {
		if v, ok := s.Given(name); ok {
			return v
		}
		if v, ok := values[name]; ok {
			return v
		}
		return defaults[name]
	})
	return set, data, faults
}

// FileContents returns the file as it is now, nil if there is none.
func (s Source) FileContents() []byte {
	if s.Path == "" {
		return nil
	}
	data, err := os.ReadFile(s.Path)
	if err != nil || len(data) > maxFileSize {
		return nil
	}
	return data
}

func (s Source) readFile() ([]byte, map[string]string, *code.Error) {
	if s.Path == "" {
		return nil, nil, nil
	}
	data, err := os.ReadFile(s.Path)
	if err != nil {
		return nil, nil, code.Errorf(code.BadSetting, "the settings file: %v", err)
	}
	if len(data) > maxFileSize {
		return data, nil, code.Errorf(code.BadSetting, "the settings file %s has %d bytes, at most %d allowed", s.Path, len(data), maxFileSize)
	}
	var fields map[string]yaml.Node
	if err := yaml.Unmarshal(data, &fields); err != nil {
		return data, nil, code.Errorf(code.BadSetting, "the settings file %s: %v", s.Path, err)
	}
	values := make(map[string]string, len(fields))
	for name, node := range fields {
		if node.Kind == yaml.ScalarNode {
			values[name] = node.Value
		}
	}
	return data, values, nil
}

// defaults are the settings' defaults by name.
var defaults = func() map[string]string {
	m := make(map[string]string, len(Table))
	for _, row := range Table {
		m[row.Name] = row.Default
	}
	return m
}()
