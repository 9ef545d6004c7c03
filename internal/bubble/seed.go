package bubble

import (
	"flag"
	"os"
	"testing"
)

// caseSeed is the seed of every property test, so that a run has the same verdict each
// time. The flag -rapid.seed draws other cases.
const caseSeed = "20261203"

// Main runs the tests of a package with the fixed seed. It is the body of TestMain in
// packages with property tests.
func Main(m *testing.M) {
	if err := flag.Set("rapid.seed", caseSeed); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
