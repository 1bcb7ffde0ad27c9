#!/usr/bin/env bash
# Regenerates the reference pages: result codes, settings and service documents.
# Tests fail if a page differs from the code.
set -eu
cd "$(dirname "$0")/.."
go build -o bin/apricotstream ./cmd/apricotstream
a=bin/apricotstream
{
	cat <<'T'
# Result codes

Every answer, log line and command-line error carries one of these numbers. The
class is a promise: *not run* means that no upstream executed the request,
although one may have received and rejected it; *ran* that it was executed;
*unknown* that it may have been. A code with a retry delay is sent with
`Retry-After` and `retry_after_ms`.

The command line exits with 0 when done, 1 when nothing was changed, 2 when the
command line or a file is wrong, 3 when the change may or may not have been made
(sending it again is safe: it carries an operation id). The commands of `config`
have exit codes of their own: see their help.

T
	$a codes --markdown
} >docs/RESULTS.md
{
	cat <<'T'
# Settings of a daemon

The settings file is INI and read once, at the start. Unknown and repeated keys
are rejected with file, line and code. `apricotstream check --config FILE` reports
all errors at once. [One documented example](../examples/enigmes-boreales/entry-1.ini).

T
	$a reference settings
} >docs/SETTINGS.md
{
	cat <<'T'
# Service documents

One INI document for each service, owned by the service's team, activated by
`apricotstream service put FILE` while traffic runs. A document is accepted
or rejected as a whole. If two operators send an edit with the same version number,
one is accepted and the other is rejected (code 402). `apricotstream check --service FILE` needs no daemon.
Examples: [a model service](../examples/enigmes-boreales/hint-model.ini),
[a plain service](../examples/enigmes-boreales/answer-checker.ini).

T
	$a reference service
} >docs/SERVICE.md
