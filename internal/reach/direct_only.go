package reach

import "context"

// directOnlyKey is the key of the context value of DirectOnly.
type directOnlyKey struct{}

// DirectOnly returns a context for requests that must not go through another daemon, because they
// must not arrive after the sender has given them up.
func DirectOnly(ctx context.Context) context.Context {
	return context.WithValue(ctx, directOnlyKey{}, true)
}

func isDirectOnly(ctx context.Context) bool { return ctx.Value(directOnlyKey{}) != nil }
