// Package control implements the commands of birchctl: validating, comparing,
// reading and applying the operators' configuration, and querying the state of
// instances.
//
// A stored document carries the ID of the change that wrote it. An operator whose
// answer was lost can therefore tell from the stored value whether the change took
// effect. Of several operators who apply at once, exactly one compare-and-swap
// succeeds; the others get a numbered code and a diff.
package control

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"

	"github.com/gravitational/trace"
	"github.com/pmezard/go-difflib/difflib"

	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/internal/own/keyvalue"
)

// maxApplyAttempts is the largest number of attempts to write a configuration while the
// answers are lost.
const maxApplyAttempts = 5

// Stored is the configuration stored by the platform.
type Stored struct {
	Document config.Document
	Revision uint64 // revision of the stored value; 0 if there is none
}

// Validate parses and validates a configuration file and returns all its faults.
func Validate(data []byte) (config.Document, []*code.Error) {
	file, faults := config.Parse(data)
	if len(faults) > 0 {
		return config.Document{}, faults
	}
	if faults := file.Validate(); len(faults) > 0 {
		return config.Document{}, faults
	}
	if _, err := file.Document.Encode(); err != nil {
		var numbered *code.Error
		if errors.As(err, &numbered) {
			return config.Document{}, []*code.Error{numbered}
		}
		return config.Document{}, []*code.Error{code.Errorf(code.Internal, "%v", err)}
	}
	return file.Document, nil
}

// Get returns the stored configuration, or the zero Stored if there is none.
func Get(ctx context.Context, p *keyvalue.Client) (Stored, error) {
	v, err := p.Get(ctx, keyvalue.ConfigKey, 0, 0)
	if err != nil {
		return Stored{}, code.Errorf(code.PlatformDown, "%v", trace.UserMessage(err))
	}
	if v.Revision == 0 {
		return Stored{}, nil
	}
	doc, err := config.Decode(v.Data)
	if err != nil {
		return Stored{}, err
	}
	return Stored{Document: doc, Revision: v.Revision}, nil
}

// Apply puts doc in force and returns its revision. A doc with a revision is
// applied only if that revision is the stored one; a doc without a revision
// replaces whatever is stored when Apply begins.
func Apply(ctx context.Context, p *keyvalue.Client, doc config.Document) (uint64, error) {
	stored, err := Get(ctx, p)
	if err != nil {
		return 0, err
	}
	if doc.Revision != 0 && doc.Revision != stored.Document.Revision {
		return 0, conflict(doc, stored.Document)
	}
	doc.Revision = stored.Document.Revision + 1
	doc.ChangeID = newChangeID()
	data, err := doc.Encode()
	if err != nil {
		return 0, err
	}
	return compareAndSwap(ctx, p, doc, data, stored)
}

// compareAndSwap writes the value. After an error, which may hide a successful write,
// it reads the value back and decides by the change ID and revision that it finds.
func compareAndSwap(ctx context.Context, p *keyvalue.Client, doc config.Document, data []byte, stored Stored) (uint64, error) {
	for range maxApplyAttempts {
		_, err := p.CompareAndSwap(ctx, keyvalue.ConfigKey, data, stored.Revision, 0)
		if err == nil {
			return doc.Revision, nil
		}
		now, err := Get(ctx, p)
		if err != nil {
			continue // retrying is safe: the next swap expects the same revision
		}
		if now.Document.ChangeID == doc.ChangeID {
			return doc.Revision, nil
		}
		if now.Revision != stored.Revision {
			return 0, conflict(doc, now.Document)
		}
	}
	if err := resolveOutcome(ctx, p, doc, stored); err != nil {
		return 0, err
	}
	return doc.Revision, nil
}

// resolveOutcome reads the stored value once more after the answers of all attempts
// were lost. It returns nil if doc is in force and an error otherwise.
func resolveOutcome(ctx context.Context, p *keyvalue.Client, doc config.Document, stored Stored) error {
	now, err := Get(ctx, p)
	switch {
	case err != nil:
		return code.Errorf(code.ConfigUnresolved, "change %s on revision %d: %v", doc.ChangeID, stored.Document.Revision, err)
	case now.Document.ChangeID == doc.ChangeID:
		return nil
	default:
		return code.Errorf(code.ConfigUnresolved, "change %s is not in force, but a delayed write may still apply it", doc.ChangeID)
	}
}

func conflict(mine, theirs config.Document) error {
	diff, err := Diff(theirs, mine)
	if err != nil {
		diff = err.Error()
	}
	return code.Errorf(code.ConfigConflict, "revision %d is in force; your file would change it as follows:\n%s", theirs.Revision, diff)
}

func newChangeID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never returns an error; see crypto/rand
	return hex.EncodeToString(b[:])
}

// Diff returns the unified diff between two documents, or "" if they are equal.
// It ignores their revisions and change IDs.
func Diff(from, to config.Document) (string, error) {
	a, err := comparableYAML(from)
	if err != nil {
		return "", err
	}
	b, err := comparableYAML(to)
	if err != nil {
		return "", err
	}
	if bytes.Equal(a, b) {
		return "", nil
	}
	return difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(string(a)), B: difflib.SplitLines(string(b)),
		FromFile: fmt.Sprintf("revision %d", from.Revision), ToFile: "yours", Context: 2,
	})
}

func comparableYAML(d config.Document) ([]byte, error) {
	d.Revision = 0
	d.ChangeID = ""
	return d.YAML()
}
