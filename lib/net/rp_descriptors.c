/* RLIMIT_NOFILE and /proc/self/fd. */
#include "rp_descriptors.h"

#include <dirent.h>
#include <errno.h>
#include <sys/resource.h>

#define USUAL_LIMIT 1024u
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
