package hedge

import (
	"testing"

	"sequoiafork/internal/bubble"
)

func TestMain(m *testing.M) { bubble.Main(m) }
