package strictini

import (
	"os"

	"github.com/apricotstream/apricotstream/internal/result"
)

// Load reads a file of settings and passes its text to parse. It returns one
// coded error that names every problem.
func Load[T any](path string, parse func(file, text string) (T, Problems)) (T, error) {
	var none T
	b, err := os.ReadFile(path)
	if err != nil {
		return none, result.New(result.SettingMissing, "cannot read settings: %v", err)
	}
	s, problems := parse(path, string(b))
	if err := problems.Err(result.SettingInvalid); err != nil {
		return none, err
	}
	return s, nil
}
