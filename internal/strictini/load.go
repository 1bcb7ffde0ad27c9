package strictini

import (
	"os"

	"github.com/apricotstream/apricotstream/internal/result"
)

// Load reads a settings file and passes its path and text to parse. When parse returns
// problems, Load returns one SettingInvalid error that lists them all. A file that cannot
// be read is a SettingMissing error.
func Load[T any](path string, parse func(file, text string) (T, Problems)) (T, error) {
	var none T
	b, err := os.ReadFile(path)
	if err != nil {
		return none, result.New(result.SettingMissing, "cannot read the settings file: %v", err)
	}
	s, problems := parse(path, string(b))
	if err := problems.Err(result.SettingInvalid); err != nil {
		return none, err
	}
	return s, nil
}
