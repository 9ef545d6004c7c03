package logging_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"sequoiafork/internal/logging"
)

func TestJSONLine(t *testing.T) {
	var output strings.Builder
	logger, err := logging.New(logging.Config{
		Output: &output,
	})
	require.NoError(t, err)
	logger.Debug("hidden")
	logger.Info("request refused", zap.String("request_id", "r-1"))

	var line map[string]any
	require.NoError(t, json.Unmarshal([]byte(output.String()), &line))
	require.Equal(t, "request refused", line["msg"])
	require.Equal(t, "r-1", line["request_id"])
	require.Contains(t, line, "time")
}

func TestConsoleLine(t *testing.T) {
	var output strings.Builder
	logger, err := logging.New(logging.Config{
		Level:  "warn",
		Format: "console",
		Output: &output,
	})
	require.NoError(t, err)
	logger.Info("hidden")
	logger.Warn("shown")
	require.Contains(t, output.String(), "WARN\tshown")
	require.NotContains(t, output.String(), "hidden")
}

func TestBadConfig(t *testing.T) {
	_, err := logging.New(logging.Config{
		Level: "loud",
	})
	require.ErrorContains(t, err, `log level "loud"`)
	_, err = logging.New(logging.Config{
		Format: "xml",
	})
	require.ErrorContains(t, err, `log format "xml"`)
}
