package logging

import (
	"fmt"
	"io"
	"strings"

	"github.com/sirupsen/logrus"
	"github.com/zeromicro/go-zero/core/logx"
)

// TimeFormat is how lines give the time; requests take milliseconds.
const TimeFormat = "2006-01-02T15:04:05.000000Z07:00"

// Config says what is logged and how.
type Config struct {
	Level  string
	Format string
	Out    io.Writer
}

// New makes a logger; an unknown level means info.
func New(cfg Config) *logrus.Logger {
	l := logrus.New()
	l.SetOutput(cfg.Out)
	level, err := logrus.ParseLevel(cfg.Level)
	if err != nil {
		level = logrus.InfoLevel
	}
	l.SetLevel(level)
	if cfg.Format == "json" {
		l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: TimeFormat})
	}
	return l
}

// ComponentLogger is one part's way to log: each line starts with the part's name.
type ComponentLogger struct {
	prefix string
	entry  *logrus.Entry
}

// NewComponentLogger gives a part its logger.
func NewComponentLogger(l *logrus.Logger, name string) ComponentLogger {
	return ComponentLogger{prefix: name + ": ", entry: logrus.NewEntry(l)}
}

// With gives a part whose lines carry a field.
func (p ComponentLogger) With(key string, value any) ComponentLogger {
	return ComponentLogger{prefix: p.prefix, entry: p.entry.WithField(key, value)}
}

// Info logs what an operator may want to know.
func (p ComponentLogger) Info(text string) { p.entry.Info(p.prefix + text) }

// Warn logs what an operator should look at.
func (p ComponentLogger) Warn(text string, err error) { p.entry.WithError(err).Warn(p.prefix + text) }

// Debug logs what a developer may want to know.
func (p ComponentLogger) Debug(text string) { p.entry.Debug(p.prefix + text) }

// RedirectGoZero sends go-zero's lines to l, its statistics left out.
func RedirectGoZero(l *logrus.Logger) {
	// The first set-up of go-zero's log wins; a later one by one of its servers would take the writer away.
	_ = logx.SetUp(logx.LogConf{Mode: "console", Level: "error"})
	logx.DisableStat()
	logx.SetWriter(writer{NewComponentLogger(l, "go-zero")})
}

// callMark begins go-zero's line about an HTTP call.
const callMark = "[HTTP]"

// writer is go-zero's way to log, on top of a part.
type writer struct{ part ComponentLogger }

func (w writer) fields(fields []logx.LogField) ComponentLogger {
	p := w.part
	for _, f := range fields {
		p = p.With(f.Key, f.Value)
	}
	return p
}

func (w writer) Alert(v any)                          { w.part.entry.Error(w.part.prefix + fmt.Sprint(v)) }
func (w writer) Close() error                         { return nil }
func (w writer) Debug(v any, fields ...logx.LogField) { w.fields(fields).Debug(fmt.Sprint(v)) }
func (w writer) Error(v any, fields ...logx.LogField) {
	p := w.fields(fields)
	// Whoever makes a call tells of its failure; the library's line about it says nothing more.
	if strings.HasPrefix(fmt.Sprint(v), callMark) {
		p.Debug(fmt.Sprint(v))
		return
	}
	p.entry.Error(p.prefix + fmt.Sprint(v))
}
func (w writer) Info(v any, fields ...logx.LogField) { w.fields(fields).Info(fmt.Sprint(v)) }
func (w writer) Severe(v any)                        { w.part.entry.Error(w.part.prefix + fmt.Sprint(v)) }
func (w writer) Slow(v any, fields ...logx.LogField) { w.fields(fields).Info(fmt.Sprint(v)) }
func (w writer) Stack(v any)                         { w.part.entry.Error(w.part.prefix + fmt.Sprint(v)) }
func (w writer) Stat(any, ...logx.LogField)          {}
