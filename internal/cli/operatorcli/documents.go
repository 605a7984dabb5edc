package operatorcli

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/client"
	"github.com/verbenabend/verbenabend/internal/entry"
	"github.com/verbenabend/verbenabend/internal/servicedoc"
	"github.com/verbenabend/verbenabend/internal/strictjson"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

type checkCmd struct {
	File string `arg:"" help:"Document in JSON." type:"existingfile"`
	JSON bool   `name:"json" help:"Print the result as JSON."`
}

// checkResult is the output of check --json.
type checkResult struct {
	Valid  bool               `json:"valid"`
	Faults []strictjson.Fault `json:"faults"`
	File   string             `json:"file"`
}

// Run checks a document locally.
func (c *checkCmd) Run() error {
	body, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "read document")
	}
	doc, err := servicedoc.Parse(body)
	if c.JSON {
		return errors.CombineErrors(printJSON(newCheckResult(c.File, err)), err)
	}
	if err != nil {
		return err
	}
	fmt.Printf("yes: %s is a valid document of %s\n", c.File, doc.Service)
	return nil
}

type submitCmd struct {
	operatorFlags `embed:""`
	File          string  `arg:"" help:"Document in JSON." type:"existingfile"`
	BasedOn       *uint64 `placeholder:"REVISION" help:"Revision that this document replaces, 0 for the first. Default: the revision in force."`
	JSON          bool    `name:"json" help:"Print the result as JSON."`
}

// Run submits a document. When it is unknown whether the document was accepted,
// the error is an unknownError.
func (c *submitCmd) Run() error {
	ctx := context.Background()
	body, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "read document")
	}
	doc, err := servicedoc.Parse(body)
	if err != nil {
		return err
	}
	base, err := c.baseRevision(ctx, doc.Service)
	if err != nil {
		return err
	}
	accepted, err := firstReachable(&c.operatorFlags, func(o *client.Operator) (*entry.Accepted, error) {
		return o.Submit(ctx, doc.Service, body, base)
	})
	if err != nil {
		return c.explainSubmitError(err, base)
	}
	if c.JSON {
		return printJSON(accepted)
	}
	fmt.Printf("yes: %s is in force at revision %d\n", accepted.Service, accepted.Revision)
	return nil
}

// baseRevision returns the revision that the document is to replace.
func (c *submitCmd) baseRevision(ctx context.Context, service string) (servicedoc.Revision, error) {
	if c.BasedOn != nil {
		return servicedoc.Revision(*c.BasedOn), nil
	}
	inForce, err := firstReachable(&c.operatorFlags, func(o *client.Operator) (*entry.Accepted, error) { return o.Show(ctx, service) })
	if e, ok := verdict.As(err); ok && e.Code == verdict.CodeNotFound {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return inForce.Revision, nil
}

func (c *submitCmd) explainSubmitError(err error, base servicedoc.Revision) error {
	var rejected *client.RejectedError
	if errors.As(err, &rejected) || verdict.Of(err) == verdict.NotRun {
		return err
	}
	return &unknownError{cause: err, nextStep: fmt.Sprintf(
		"submit the same file again with --based-on %d: success, or a conflict with your own document in force, means that it was accepted", base)}
}

type showCmd struct {
	operatorFlags `embed:""`
	Service       string `arg:"" help:"Name of the service."`
	JSON          bool   `name:"json" help:"Print the revision with the document."`
}

// Run prints a service's document in force.
func (c *showCmd) Run() error {
	a, err := firstReachable(&c.operatorFlags, func(o *client.Operator) (*entry.Accepted, error) {
		return o.Show(context.Background(), c.Service)
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(a)
	}
	fmt.Fprintf(os.Stderr, "revision %d\n", a.Revision)
	return printJSON(a.Document)
}

func newCheckResult(file string, err error) checkResult {
	out := checkResult{Valid: err == nil, File: file, Faults: []strictjson.Fault{}}
	var faults strictjson.Faults
	if errors.As(err, &faults) {
		out.Faults = faults
	}
	return out
}
