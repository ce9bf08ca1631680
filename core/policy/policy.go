// Package policy compiles and evaluates the operators' policy programs: three short
// CEL expressions that determine a call's priority, whether it is refused, and how
// late its first token may be.
//
// A program is compiled once per configuration revision and evaluated once per
// call under a cost limit. It can neither loop nor access anything but its
// variables. An expression that fails at run time yields the policy's declared
// default and is counted, so a faulty policy never fails a call.
package policy

import (
	"fmt"
	"sync"
	"time"

	"cel.dev/cel-go/cel"
	"cel.dev/cel-go/common/types"
)

// MaxPriority is the highest priority a policy can give.
const MaxPriority = 100

// costLimit bounds one evaluation, in CEL cost units.
const costLimit = 10_000

// A ResultType is the type that an expression must have.
type ResultType int

// The result types.
const (
	Int ResultType = iota
	Bool
	Duration
)

// An Input holds the variables an expression can read.
type Input struct {
	Service       string  // service: the called service
	Model         string  // model: the model chosen for the call
	Caller        string  // caller: the caller's name, "" if callers are not configured
	PromptTokens  int     // prompt_tokens: estimated number of prompt tokens
	MaxTokens     int     // max_tokens: maximum number of tokens in the answer
	NotRepeatable bool    // not_repeatable: the call must not run more than once
	Load          float64 // load: sequences running in the zone as a share of its slots: 0 to 1, above 1 under overload
	Hour          int     // hour: hour of the day in UTC, 0 to 23
}

// A Decision is the result of a policy for one call.
type Decision struct {
	Priority int           // 0 to MaxPriority; higher goes first
	Refuse   bool          // whether the call is refused
	Wait     time.Duration // how long after the latency target the first token may come
}

// celEnv returns the CEL environment, which declares the variables of Input.
var celEnv = sync.OnceValues(func() (*cel.Env, error) {
	return cel.NewEnv(
		cel.Variable("service", cel.StringType),
		cel.Variable("model", cel.StringType),
		cel.Variable("caller", cel.StringType),
		cel.Variable("prompt_tokens", cel.IntType),
		cel.Variable("max_tokens", cel.IntType),
		cel.Variable("not_repeatable", cel.BoolType),
		cel.Variable("load", cel.DoubleType),
		cel.Variable("hour", cel.IntType),
	)
})

func (t ResultType) celType() *cel.Type {
	switch t {
	case Int:
		return cel.IntType
	case Bool:
		return cel.BoolType
	default:
		return cel.DurationType
	}
}

// Validate returns an error if text is not a valid expression of type want. An empty
// text is valid.
func Validate(text string, want ResultType) error {
	_, err := compile(text, want)
	return err
}

// compile compiles an expression of type want. For an empty text it returns nil and
// no error.
func compile(text string, want ResultType) (cel.Program, error) {
	if text == "" {
		return nil, nil
	}
	env, err := celEnv()
	if err != nil {
		return nil, fmt.Errorf("building the policy environment: %w", err)
	}
	ast, issues := env.Compile(text)
	if issues.Err() != nil {
		return nil, issues.Err()
	}
	if celType := want.celType(); !ast.OutputType().IsExactType(celType) {
		return nil, fmt.Errorf("the expression has type %s, want %s", ast.OutputType(), celType)
	}
	return env.Program(ast, cel.CostLimit(costLimit))
}

// A Program is a compiled policy, safe for concurrent use.
type Program struct {
	priority, refuse, wait cel.Program
	fallback               Decision
}

// Compile compiles the three expressions. An empty expression always yields the
// value of fallback.
func Compile(priority, refuse, wait string, fallback Decision) (*Program, error) {
	p := &Program{fallback: fallback}
	var err error
	if p.priority, err = compile(priority, Int); err != nil {
		return nil, err
	}
	if p.refuse, err = compile(refuse, Bool); err != nil {
		return nil, err
	}
	if p.wait, err = compile(wait, Duration); err != nil {
		return nil, err
	}
	return p, nil
}

// Eval returns the decision for a call and the number of expressions that failed at
// run time. A priority outside 0 to MaxPriority is clamped, and a negative wait counts
// as zero.
func (p *Program) Eval(in Input) (Decision, int) {
	vars := map[string]any{
		"service":        in.Service,
		"model":          in.Model,
		"caller":         in.Caller,
		"prompt_tokens":  in.PromptTokens,
		"max_tokens":     in.MaxTokens,
		"not_repeatable": in.NotRepeatable,
		"load":           in.Load,
		"hour":           in.Hour,
	}
	decision := p.fallback
	failed := 0
	if out, ok := eval[types.Int](p.priority, vars, &failed); ok {
		decision.Priority = int(min(max(int64(out), 0), MaxPriority))
	}
	if out, ok := eval[types.Bool](p.refuse, vars, &failed); ok {
		decision.Refuse = bool(out)
	}
	if out, ok := eval[types.Duration](p.wait, vars, &failed); ok {
		decision.Wait = max(out.Duration, 0)
	}
	return decision, failed
}

// eval evaluates one expression. It returns false if the expression is empty or failed,
// and counts a failure in *failed.
func eval[T any](program cel.Program, vars map[string]any, failed *int) (T, bool) {
	var zero T
	if program == nil {
		return zero, false
	}
	out, _, err := program.Eval(vars)
	if err != nil {
		*failed++
		return zero, false
	}
	v, ok := out.(T)
	if !ok {
		*failed++
	}
	return v, ok
}
