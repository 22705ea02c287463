/* The descriptors of a process: how many it may open, and how many it has. */
#ifndef RP_DESCRIPTORS_H
#define RP_DESCRIPTORS_H

#include "rp_log.h"

/* Returns how many descriptors this process may open. If that cannot be read,
 * logs it and returns a small limit that is usual. */
unsigned RpDescriptors_ReadLimit(struct rp_log *log);

/* Returns how many descriptors are open; 0 if not known. */
unsigned RpDescriptors_CountOpen(void);

#endif
