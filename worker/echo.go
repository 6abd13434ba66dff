package worker

import (
	"bytes"
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Directives that Echo understands at the start of its data.
const (
	waitDirective = "wait="
	failDirective = "fail="
	separator     = ';'
)

// Echo answers with its data. Data may start with directives, each ended by a
// semicolon: "wait=250ms;" delays the answer and "fail=TEXT;" makes the task
// fail with TEXT.
func Echo(ctx context.Context, data []byte) ([]byte, error) {
	for {
		directive, rest, found := bytes.Cut(data, []byte{separator})
		if !found {
			return data, nil
		}
		if text, is := strings.CutPrefix(string(directive), failDirective); is {
			return nil, errors.New(text)
		}
		text, is := strings.CutPrefix(string(directive), waitDirective)
		if !is {
			return data, nil
		}
		d, err := time.ParseDuration(text)
		if err != nil {
			return nil, errors.Wrap(err, "the directive wait")
		}
		if err := wait(ctx, d); err != nil {
			return nil, err
		}
		data = rest
	}
}

func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
