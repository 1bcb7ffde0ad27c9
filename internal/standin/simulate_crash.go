package standin

import "net/http"

// SimulateCrash stops the upstream as a crash of its process would: its address refuses
// connections, and open connections are closed without notice. It returns after that. It
// must be called at most once, and only while Serve runs.
func (u *Upstream) SimulateCrash() {
	close(u.crashed)
	<-u.connectionsClosed
}

// abort ends the running HTTP handler without a response.
func abort() { panic(http.ErrAbortHandler) }
