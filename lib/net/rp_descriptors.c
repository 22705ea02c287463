/* RLIMIT_NOFILE and /proc/self/fd. */
#include "rp_descriptors.h"

#include <dirent.h>
#include <errno.h>
#include <sys/resource.h>

#define USUAL_LIMIT 1024u
/* For the journal, the logs and the connections to other processes; a quarter
 * where there are few. */
#define RESERVE 200u
#define NODES_MAX 30000u
/* Callers of HTTP are few; each connection takes some ten KB. */
#define HTTP_MAX 1024u
#define HTTP_MIN 4u
#define FOLDER "/proc/self/fd"

unsigned
RpDescriptors_ReadLimit(struct rp_log *log)
{
    struct rlimit limit;

    if (getrlimit(RLIMIT_NOFILE, &limit) < 0) {
        RpLog_Event(log, RP_LOG_WARN, "descriptor_limit_unknown",
                    "error=%d assumed=%u", errno, USUAL_LIMIT);
        return USUAL_LIMIT;
    }
    return (unsigned)MIN(limit.rlim_cur, (rlim_t)G_MAXINT);
}

unsigned
RpDescriptors_CountOpen(void)
{
    unsigned count = 0;
    DIR *folder = opendir(FOLDER);

    if (!folder) {
        /* Not one is left to read the folder with: all are open. */
        return errno == EMFILE ? RpDescriptors_ReadLimit(NULL) : 0;
    }
    for (const struct dirent *entry; (entry = readdir(folder)) != NULL;) {
        count += entry->d_name[0] != '.';
    }
    closedir(folder);
    return count - 1; /* without that of the folder */
}

/* Returns how many descriptors all ports together may use. */
static unsigned
subtract_reserve(unsigned limit)
{
    return limit - MIN(RESERVE, limit / 4);
}

unsigned
RpDescriptors_NodeBound(unsigned limit)
{
    return MIN(subtract_reserve(limit) / 4 * 3, NODES_MAX);
}

unsigned
RpDescriptors_HttpBound(unsigned limit)
{
    return CLAMP(subtract_reserve(limit) / 8, HTTP_MIN, HTTP_MAX);
}
