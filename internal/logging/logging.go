// Package logging creates the daemon's zap logger.
package logging

import (
	"fmt"
	"io"
	"os"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Config configures what is logged and where. Its zero value logs JSON lines of level
// info and above to the standard output.
type Config struct {
	// Level is debug, info, warn or error. Empty means info.
	Level string
	// Format is json or console. Empty means json.
	Format string
	// Output receives the lines. Nil means the standard output, through a queue that
	// drops lines rather than block the process.
	Output io.Writer
}

// New returns a logger. Field names are in snake case and times in RFC 3339.
func New(config Config) (*zap.Logger, error) {
	level := zapcore.InfoLevel
	if config.Level != "" {
		parsed, err := zapcore.ParseLevel(config.Level)
		if err != nil {
			return nil, fmt.Errorf("log level %q: allowed are debug, info, warn and error", config.Level)
		}
		level = parsed
	}
	encoder, err := newEncoder(config.Format)
	if err != nil {
		return nil, err
	}
	output := config.Output
	if output == nil {
		output = newQueue(os.Stdout)
	}
	core := zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(output)), level)
	return zap.New(core), nil
}

func newEncoder(format string) (zapcore.Encoder, error) {
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "time"
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	switch format {
	case "", "json":
		return zapcore.NewJSONEncoder(config), nil
	case "console":
		config.EncodeLevel = zapcore.CapitalLevelEncoder
		config.EncodeDuration = zapcore.StringDurationEncoder
		return zapcore.NewConsoleEncoder(config), nil
	default:
		return nil, fmt.Errorf("log format %q: allowed are json and console", format)
	}
}
