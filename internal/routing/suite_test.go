package routing

import (
	"testing"

	"github.com/apricotstream/apricotstream/internal/testkit"
)

func TestRouting(t *testing.T) { testkit.Run(t, "routing") }
