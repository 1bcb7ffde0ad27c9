package standin

import "net/http"

// Die ends the upstream as the death of its process would: its address refuses
// connections, those that are open are cut without notice. Call it once,
// while it serves.
func (u *Upstream) SimulateCrash() {
	close(u.dead)
	<-u.gone
}

// abort ends the handler that runs, without an answer.
func abort() { panic(http.ErrAbortHandler) }
