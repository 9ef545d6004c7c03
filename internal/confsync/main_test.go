package confsync_test

import (
	"testing"

	"sequoiafork/internal/bubble"
)

func TestMain(m *testing.M) { bubble.Main(m) }
