package logger_test

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/loader"
	"github.com/chervilvane/chervilvane/logger"
	"github.com/chervilvane/chervilvane/tracer"
)

func TestForAddsRequestAndTrace(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l := logger.New(loader.Log{Level: "Warn"}, &out)
	const id = "0af7651916cd43dd8448eb211c80319c"
	ctx := tracer.TraceContext{Parent: "00-" + id + "-b7ad6b7169203331-01"}.Extract(context.Background())
	ctx = logger.With(ctx, "web/1")
	logger.For(ctx, l).Info("below the level")
	logger.For(ctx, l).Warn("one line")
	var line map[string]string
	is.NoErr(json.Unmarshal(out.Bytes(), &line))
	is.Equal(line["Message"], "one line")
	is.Equal(line["Level"], "warning")
	is.Equal(line[logger.FieldRequest], "web/1")
	is.Equal(line[logger.FieldTrace], id)
}
