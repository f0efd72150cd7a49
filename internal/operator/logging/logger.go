package logging

import (
	"fmt"
	"io"
	"strings"

	"github.com/sirupsen/logrus"
	"github.com/zeromicro/go-zero/core/logx"
)

// TimeFormat is the format of a line's time; it has fractions of a second because requests take milliseconds.
const TimeFormat = "2006-01-02T15:04:05.000000Z07:00"

// Config configures a logger.
type Config struct {
	Level  string
	Format string
	Out    io.Writer
}

// New returns a logger; an unknown level means info.
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

// ComponentLogger is the logger of one component, whose lines start with the component's name.
type ComponentLogger struct {
	prefix string
	entry  *logrus.Entry
}

// NewComponentLogger returns the logger of a component.
func NewComponentLogger(l *logrus.Logger, name string) ComponentLogger {
	return ComponentLogger{prefix: name + ": ", entry: logrus.NewEntry(l)}
}

// With returns a logger whose lines carry a field.
func (c ComponentLogger) With(key string, value any) ComponentLogger {
	return ComponentLogger{prefix: c.prefix, entry: c.entry.WithField(key, value)}
}

// Info logs an event that may interest an operator.
func (c ComponentLogger) Info(text string) { c.entry.Info(c.prefix + text) }

// Warn logs an event that an operator should look into.
func (c ComponentLogger) Warn(text string, err error) { c.entry.WithError(err).Warn(c.prefix + text) }

// Debug logs an event that may interest a developer.
func (c ComponentLogger) Debug(text string) { c.entry.Debug(c.prefix + text) }

// RedirectGoZero sends go-zero's lines to l, except its statistics.
func RedirectGoZero(l *logrus.Logger) {
	// Only go-zero's first log setup takes effect; without this one, a later setup by one of its servers would replace
	// the writer.
	_ = logx.SetUp(logx.LogConf{Mode: "console", Level: "error"})
	logx.DisableStat()
	logx.SetWriter(writer{NewComponentLogger(l, "go-zero")})
}

// httpCallPrefix starts go-zero's line about an HTTP call.
const httpCallPrefix = "[HTTP]"

// writer is a go-zero log writer that logs through a component logger.
type writer struct{ log ComponentLogger }

func (w writer) with(fields []logx.LogField) ComponentLogger {
	c := w.log
	for _, f := range fields {
		c = c.With(f.Key, f.Value)
	}
	return c
}

func (w writer) Alert(v any)                          { w.log.entry.Error(w.log.prefix + fmt.Sprint(v)) }
func (w writer) Close() error                         { return nil }
func (w writer) Debug(v any, fields ...logx.LogField) { w.with(fields).Debug(fmt.Sprint(v)) }
func (w writer) Error(v any, fields ...logx.LogField) {
	c := w.with(fields)
	// The caller reports a failed call itself; the library's line adds nothing.
	if strings.HasPrefix(fmt.Sprint(v), httpCallPrefix) {
		c.Debug(fmt.Sprint(v))
		return
	}
	c.entry.Error(c.prefix + fmt.Sprint(v))
}
func (w writer) Info(v any, fields ...logx.LogField) { w.with(fields).Info(fmt.Sprint(v)) }
func (w writer) Severe(v any)                        { w.log.entry.Error(w.log.prefix + fmt.Sprint(v)) }
func (w writer) Slow(v any, fields ...logx.LogField) { w.with(fields).Info(fmt.Sprint(v)) }
func (w writer) Stack(v any)                         { w.log.entry.Error(w.log.prefix + fmt.Sprint(v)) }
func (w writer) Stat(any, ...logx.LogField)          {}
