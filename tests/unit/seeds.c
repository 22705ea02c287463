#include "seeds.h"

#include <glib.h>
#include <stdlib.h>

unsigned
run_seeds(unsigned (*run)(uint32_t seed), uint32_t default_last,
          const uint32_t *extra, size_t extra_count, uint32_t *ran)
{
    const char *one = g_getenv("RP_SEED");
    const char *many = g_getenv("RP_SEEDS");
    uint32_t first = one ? (uint32_t)strtoul(one, NULL, 10) : 1;
    uint32_t last = one ? first : default_last;
    unsigned sum = 0;

    if (many) {
        last = (uint32_t)strtoul(many, NULL, 10);
    }
    for (uint32_t seed = first; seed <= last; seed++) {
        sum += run(seed);
    }
    *ran = last - first + 1;
    for (size_t i = 0; !one && !many && i < extra_count; i++) {
        sum += run(extra[i]);
        *ran += 1;
    }
    return sum;
}
