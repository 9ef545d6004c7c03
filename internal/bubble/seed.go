package bubble

import (
	"flag"
	"os"
	"testing"
)

// caseSeed is the seed of every property test, so that each run tests the same cases
// and has the same result. The flag -rapid.seed selects other cases.
const caseSeed = "20261203"

// Main runs the tests of a package with a fixed seed for rapid. Packages with property
// tests call it from TestMain.
func Main(m *testing.M) {
	if err := flag.Set("rapid.seed", caseSeed); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
