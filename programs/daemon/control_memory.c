/* What a control instance's memory is used for: the log, the snapshot and the
 * queues of its connections, in the metrics and in the logs. */
#include <stdio.h>
#include <unistd.h>

#include "control.h"

/* A change of the resident size that is worth a log line. */
#define LOGGED_CHANGE_BYTES (8u << 20)

/* Returns the resident size of this process in bytes; 0 if it cannot be
 * read. */
static uint64_t
read_resident_bytes(void)
{
    gchar *text = NULL;
    unsigned long long pages = 0;

    if (g_file_get_contents("/proc/self/statm", &text, NULL, NULL)) {
        if (sscanf(text, "%*u %llu", &pages) != 1) {
            pages = 0;
        }
    }
    g_free(text);
    return pages * (uint64_t)sysconf(_SC_PAGESIZE);
}

static void
append_sizes(const struct control *control, const char *separator,
             char assignment, GString *out)
{
    const struct rp_replica *replica = RpControlReplica_Replica(
        control->replica);
    const struct {
        const char *name;
        uint64_t bytes;
    } sizes[] = {
        {"log_bytes", RpReplica_LogBytes(replica)},
        {"snapshot_bytes", RpReplica_SnapshotBytes(replica)},
        {"replica_queue_bytes", RpControlLinks_QueuedBytes(control->links)},
        {"client_queue_bytes", RpControl_QueuedBytes(control)},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        g_string_append_printf(out, "%s%c%" G_GUINT64_FORMAT "%s",
                               sizes[i].name, assignment, sizes[i].bytes,
                               separator);
    }
}

void
RpControl_WriteMemoryGauges(const struct control *control, GString *out)
{
    append_sizes(control, "\n", ' ', out);
    g_string_append_printf(out, "resident_bytes %" G_GUINT64_FORMAT "\n",
                           read_resident_bytes());
}

void
RpControl_LogMemoryIfChanged(struct control *control)
{
    uint64_t resident = read_resident_bytes();
    uint64_t logged = control->logged_resident_bytes;

    if (MAX(resident, logged) - MIN(resident, logged) < LOGGED_CHANGE_BYTES) {
        return;
    }
    control->logged_resident_bytes = resident;
    GString *text = g_string_new(NULL);
    append_sizes(control, " ", '=', text);
    RpLog_Event(control->daemon.log, RP_LOG_INFO, "memory_changed",
                "%sresident_bytes=%" G_GUINT64_FORMAT, text->str, resident);
    g_string_free(text, TRUE);
}
