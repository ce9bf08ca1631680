// Package control provides what birchctl does: checking, comparing, reading and
// applying the operators' configuration, and asking instances for their state.
//
// The idea of apply: the document carries the identity of the change that wrote
// it, so that an operator whose answer was lost can tell from the platform's
// value whether his own change took effect. Of operators who race, exactly one
// compare-and-swap succeeds; the others see what differs and a numbered code.
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

// maxApplyAttempts bounds how often an apply whose answer is lost is repeated.
const maxApplyAttempts = 5

// Stored is the configuration as the platform holds it.
type Stored struct {
	Document config.Document
	Revision uint64 // of the platform's value; 0 if there is none
}

// Validate parses and checks a file.
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

// Get reads the stored configuration.
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

// Apply makes doc the configuration in force and returns its revision. A doc
// that carries a revision is applied only on top of that very revision; one
// without is applied on top of whatever is stored when Apply begins.
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

// compareAndSwap writes the value; whenever the answer leaves open what happened, it
// reads back and goes by what it finds.
func compareAndSwap(ctx context.Context, p *keyvalue.Client, doc config.Document, data []byte, stored Stored) (uint64, error) {
	for range maxApplyAttempts {
		_, err := p.Swap(ctx, keyvalue.ConfigKey, data, stored.Revision, 0)
		if err == nil {
			return doc.Revision, nil
		}
		now, err := Get(ctx, p)
		if err != nil {
			continue // the next swap can do no harm: it expects the same revision
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

// resolveOutcome says what is known after every try's answer was lost.
func resolveOutcome(ctx context.Context, p *keyvalue.Client, doc config.Document, stored Stored) error {
	now, err := Get(ctx, p)
	switch {
	case err != nil:
		return code.Errorf(code.ConfigUnresolved, "change %s on revision %d: %v", doc.ChangeID, stored.Document.Revision, err)
	case now.Document.ChangeID == doc.ChangeID:
		return nil
	default:
		return code.Errorf(code.ConfigUnresolved, "change %s is not in force now, yet may still arrive", doc.ChangeID)
	}
}

func conflict(mine, theirs config.Document) error {
	diff, err := Diff(theirs, mine)
	if err != nil {
		diff = err.Error()
	}
	return code.Errorf(code.ConfigConflict, "revision %d is in force; what you would change of it:\n%s", theirs.Revision, diff)
}

func newChangeID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails; see crypto/rand
	return hex.EncodeToString(b[:])
}

// Diff returns the unified difference between two documents, "" if they say
// the same. Revision and change are left out.
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
