/* Prints docs/COUNTERS.md from the lists of counters and histograms in the
 * code. run-tests.sh compares the output with the file. */
#include <stdio.h>

#include "rp_counters.h"

int
main(void)
{
    printf("# Counters\n\nThe admin page shows each as "
           "`radishport_NAME_total`. Generated from\n"
           "`lib/common/rp_counters.h`; a test compares the two.\n\n| name | "
           "counts |\n|---|---|\n");
    for (int i = 0; i < RP_COUNTER_COUNT; i++) {
        printf("| `%s` | %s |\n", RpCounter_Name((enum rp_counter)i),
               RpCounter_Help((enum rp_counter)i));
    }
    printf("\n# Histograms\n\nThe admin page shows each as `radishport_NAME`, "
           "in seconds, with buckets from\n1 ms to 10 s. Generated from "
           "`lib/common/rp_histogram.h`.\n\n| name | measures |\n|---|---|\n");
    for (int i = 0; i < RP_HISTOGRAM_COUNT; i++) {
        printf("| `%s` | %s |\n", RpHistogram_Name((enum rp_histogram_id)i),
               RpHistogram_Help((enum rp_histogram_id)i));
    }
    return 0;
}
