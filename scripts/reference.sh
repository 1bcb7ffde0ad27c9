#!/usr/bin/env bash
# Writes the generated parts of docs anew: result codes, settings and service
# documents. Tests hold them together with the code.
set -eu
cd "$(dirname "$0")/.."
go build -o bin/apricotstream ./cmd/apricotstream
a=bin/apricotstream
{
	cat <<'T'
# Result codes

Every answer, log line and command-line error carries one of these numbers. The
class is a promise: *not run* means that no byte of the request reached an
upstream; *ran* that it was executed; *unknown* that it may have been. A code
with a time to come back sends `Retry-After` and `retry_after_ms`.

The command line exits with 0 when done, 1 when nothing was changed, 2 when the
command line or a file is wrong, 3 when the change may or may not have been made
(sending it again is safe: it carries an operation id).

T
	$a codes --markdown
} >docs/RESULTS.md
{
	cat <<'T'
# Settings of a daemon

The settings file is INI and read once, at the start. Unknown and repeated keys
are refused with file, line and code. `apricotstream check --config FILE` finds
all faults at once. [One documented example](../examples/enigmes-boreales/entry-1.ini).

T
	$a reference settings
} >docs/SETTINGS.md
{
	cat <<'T'
# Service documents

One INI document for each service, owned by the service's team, activated by
`apricotstream service put FILE` while traffic runs. A document is accepted
whole or refused whole. Of operators racing under one version number one wins;
the other is told (code 402). `apricotstream check --service FILE` needs no daemon.
Examples: [a model service](../examples/enigmes-boreales/hint-model.ini),
[a plain service](../examples/enigmes-boreales/answer-checker.ini).

T
	$a reference service
} >docs/SERVICE.md
