package settings

import "github.com/apricotstream/apricotstream/internal/strictini"

// Reference returns the description of every section and key of a settings file.
func Reference() []strictini.SectionReference {
	s := defaults()
	list := []strictini.SectionReference{
		{Name: "daemon", Help: "Identity, location and addresses of this daemon."},
		{Name: "peers", Help: "How this daemon discovers the system."},
		{Name: "timing", Help: "Durations that operators may have to adapt to their network."},
		{Name: "platform", Help: "Interfaces of the platform. Only the leader uses them."},
		{Name: "telemetry", Help: "Logs and traces."},
	}
	for i := range list {
		list[i].Section = s.section(list[i].Name)
	}
	return list
}
