package settings

import (
	"os"

	"gopkg.in/yaml.v3"

	"github.com/birchdrift/birchdrift/core/code"
)

// maxFileSize is the largest size of the settings file, in bytes.
const maxFileSize = 1 << 20

// A Source reads settings, in this order of precedence, from flags and environment
// variables, from the settings file, and from the defaults.
type Source struct {
	Path  string                                    // path of the settings file; "" for none
	Given func(name string) (value string, ok bool) // value of a flag or variable that was set
}

// Read reads the file and checks every setting; it returns the settings, the file's
// content and all faults. It ignores names in the file that are not in Table, so that
// an older program starts with a newer file.
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

// FileContents returns the current content of the file, or nil if there is no file, or
// it cannot be read or is too large.
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
		return nil, nil, code.Errorf(code.BadSetting, "cannot read the settings file: %v", err)
	}
	if len(data) > maxFileSize {
		return data, nil, code.Errorf(code.BadSetting, "the settings file %s has %d bytes; at most %d are allowed", s.Path, len(data), maxFileSize)
	}
	var fields map[string]yaml.Node
	if err := yaml.Unmarshal(data, &fields); err != nil {
		return data, nil, code.Errorf(code.BadSetting, "cannot parse the settings file %s: %v", s.Path, err)
	}
	values := make(map[string]string, len(fields))
	for name, node := range fields {
		if node.Kind == yaml.ScalarNode {
			values[name] = node.Value
		}
	}
	return data, values, nil
}

// defaults are the default values of the settings by name.
var defaults = func() map[string]string {
	m := make(map[string]string, len(Table))
	for _, row := range Table {
		m[row.Name] = row.Default
	}
	return m
}()
