/* radishport explain: finds the log lines of one request in the logs of all
 * processes, prints them in time order, and names the events that a complete
 * request has and this one lacks. */
#include <errno.h>
#include <string.h>

#include "cli.h"

/* Lines kept at most. Only lines with a flow and background events are kept,
 * so this is enough for the logs of a few minutes. */
#define MAX_LINES 5000000
/* Background events are printed if they lie at most this far before or after
 * the request's lines. The event lines_left_out reports suppressed lines up
 * to three seconds after them. */
#define CONTEXT_MS 3000

struct explain_settings {
    GString *query;
    GString *file;
};

static const struct rp_setting settings_table[] = {
    {.kind = RP_SETTING_TEXT,
     .offset = offsetof(struct explain_settings, query),
     .value = "FLOW|ID",
     .help = "flow (caller>address), caller, or request id"},
    {.kind = RP_SETTING_TEXT,
     .offset = offsetof(struct explain_settings, file),
     .value = "FILE",
     .help = "file with log lines (default: standard input)",
     .optional = true},
};

/* One log line. The fields point into `text`, which the line owns. */
struct line {
    char *text;
    struct rp_str time;
    int64_t at_ms; /* milliseconds since midnight, UTC */
    struct rp_str role;
    struct rp_str name;
    struct rp_str event;
    struct rp_str flow;
    struct rp_str id;
    struct rp_str rest; /* the line after its event */
};

/* Which stages of a request its log lines show. print_missing reports the
 * other ones. */
struct stages {
    bool routed;
    bool admitted;
    bool refused;
    bool reset;
    bool request;
    bool answer;
};

/* Returns the text after `key`, which ends in "=", up to the next space; empty
 * if the line does not have the key. */
static struct rp_str
find_value(const char *text, const char *key)
{
    const char *found = strstr(text, key);

    if (!found) {
        return (struct rp_str){0};
    }
    found += strlen(key);
    return (struct rp_str){.data = found, .len = strcspn(found, " \n")};
}

/* Returns whether an event is printed beside a request although it names no
 * flow: it changes the state of a process, or reports suppressed lines. */
static bool
is_background(struct rp_str event)
{
    static const char *const names[] = {
        "lines_left_out", "started",
        "stopped",        "host_started",
        "host_state",     "edition_decided",
        "storage_failed", "upstream_lease_over"};

    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (RpStr_Equal(event, RpStr_FromC(names[i]))) {
            return true;
        }
    }
    return false;
}

/* Returns the milliseconds since midnight of a time such as
 * 2026-01-06T03:17:32.282Z; 0 if `time` has another format. */
static int64_t
parse_time_ms(struct rp_str time)
{
    unsigned hours;
    unsigned minutes;
    unsigned seconds;
    unsigned ms;

    if (time.len < 24 || sscanf(time.data + 11, "%2u:%2u:%2u.%3u", &hours,
                                &minutes, &seconds, &ms) != 4) {
        return 0;
    }
    return ((hours * 60 + minutes) * 60 + seconds) * INT64_C(1000) + ms;
}

/* Parses a log line; text before "time=" is ignored. Returns whether the line
 * is kept: it names a flow or is a background event. */
static bool
parse_line(char *text, struct line *line)
{
    char *start = strstr(text, "time=");

    if (!start) {
        return false;
    }
    *line = (struct line){.text = text,
                          .time = find_value(start, "time="),
                          .role = find_value(start, " role="),
                          .name = find_value(start, " name="),
                          .event = find_value(start, " event="),
                          .flow = find_value(start, " flow="),
                          .id = find_value(start, " id=")};
    if (line->event.len == 0) {
        return false;
    }
    const char *after = line->event.data + line->event.len;
    line->rest = RpStr_Trim(RpStr_FromC(after));
    line->at_ms = parse_time_ms(line->time);
    return line->flow.len > 0 || is_background(line->event);
}

static gint
compare_times(gconstpointer a, gconstpointer b)
{
    const struct line *left = a;
    const struct line *right = b;
    size_t len = MIN(left->time.len, right->time.len);

    return memcmp(left->time.data, right->time.data, len);
}

static void
free_line(gpointer data)
{
    free(((struct line *)data)->text);
}

static GArray *
read_lines(FILE *in)
{
    GArray *lines = g_array_new(FALSE, FALSE, sizeof(struct line));
    char *text = NULL;
    size_t capacity = 0;

    g_array_set_clear_func(lines, free_line);
    while (lines->len < MAX_LINES && getline(&text, &capacity, in) >= 0) {
        struct line line;
        if (parse_line(text, &line)) {
            g_array_append_val(lines, line);
            text = NULL;
            capacity = 0;
        }
    }
    free(text);
    g_array_sort(lines, compare_times);
    return lines;
}

static bool
is_from_caller(struct rp_str flow, struct rp_str caller)
{
    return flow.len > caller.len && flow.data[caller.len] == '>' &&
           !memcmp(flow.data, caller.data, caller.len);
}

/* Returns the flow of the first line that matches the query, which is a flow,
 * a caller or a request id; empty if no line does. */
static struct rp_str
find_flow(const GArray *lines, struct rp_str query)
{
    for (guint i = 0; i < lines->len; i++) {
        const struct line *line = &g_array_index(lines, struct line, i);
        if (RpStr_Equal(line->flow, query) || RpStr_Equal(line->id, query) ||
            is_from_caller(line->flow, query)) {
            return line->flow;
        }
    }
    return (struct rp_str){0};
}

static void
record_stage(struct stages *stages, struct rp_str event)
{
    stages->routed |= RpStr_Equal(event, RP_STR("flow_routed"));
    stages->admitted |= RpStr_Equal(event, RP_STR("flow_admitted"));
    stages->refused |= RpStr_Equal(event, RP_STR("flow_refused")) ||
                       RpStr_Equal(event, RP_STR("flow_unrouted"));
    stages->reset |= RpStr_Equal(event, RP_STR("flow_reset"));
    stages->request |= RpStr_Equal(event, RP_STR("request_received"));
    stages->answer |= RpStr_Equal(event, RP_STR("answer_began"));
}

static void
print_line(const struct line *line)
{
    printf("%.*s  %.*s %.*s  %.*s  %.*s\n", (int)line->time.len,
           line->time.data, (int)line->role.len, line->role.data,
           (int)line->name.len, line->name.data, (int)line->event.len,
           line->event.data, (int)line->rest.len, line->rest.data);
}

/* Prints which events a complete request has and this one lacks, with the
 * likely causes. */
static void
print_missing(const struct stages *stages)
{
    if (!stages->routed && !stages->refused) {
        printf("missing: no balancer logged that it routed the flow\n");
    }
    if (stages->routed && !stages->admitted && !stages->refused) {
        printf("missing: no agent logged that it admitted or refused the "
               "flow; the agent that it was routed to may have failed\n");
    }
    if (stages->admitted && !stages->request && !stages->reset) {
        printf("missing: no request arrived; the host or the caller did not "
               "finish opening the flow\n");
    }
    if (stages->request && !stages->answer && !stages->reset) {
        printf("missing: the host's answer; the host, its agent or its "
               "instance may have failed before it answered\n");
    }
}

/* Returns whether the instance `name` logged a line about the flow. */
static bool
is_involved(const GArray *lines, struct rp_str flow, struct rp_str name)
{
    for (guint i = 0; i < lines->len; i++) {
        const struct line *line = &g_array_index(lines, struct line, i);
        if (RpStr_Equal(line->flow, flow) && RpStr_Equal(line->name, name)) {
            return true;
        }
    }
    return false;
}

/* Prints the background events of the flow's instances from CONTEXT_MS before
 * its first line to CONTEXT_MS after its last one. */
static void
print_background(const GArray *lines, struct rp_str flow, int64_t from,
                 int64_t until)
{
    for (guint i = 0; i < lines->len; i++) {
        const struct line *line = &g_array_index(lines, struct line, i);
        if (line->flow.len == 0 && line->at_ms >= from - CONTEXT_MS &&
            line->at_ms <= until + CONTEXT_MS &&
            is_involved(lines, flow, line->name)) {
            printf("beside: ");
            print_line(line);
        }
    }
}

/* Prints everything known about the request that the query names. Returns the
 * exit code. */
static int
explain_request(const GArray *lines, struct rp_str query)
{
    struct rp_str flow = find_flow(lines, query);
    struct stages stages = {0};
    int64_t from = -1;
    int64_t until = 0;

    if (flow.len == 0) {
        printf("no log line has the flow, caller or id %.*s\n", (int)query.len,
               query.data);
        return RP_CLI_REFUSED;
    }
    printf("flow %.*s\n", (int)flow.len, flow.data);
    for (guint i = 0; i < lines->len; i++) {
        const struct line *line = &g_array_index(lines, struct line, i);
        if (!RpStr_Equal(line->flow, flow)) {
            continue;
        }
        print_line(line);
        record_stage(&stages, line->event);
        from = from < 0 ? line->at_ms : from;
        until = line->at_ms;
    }
    print_missing(&stages);
    print_background(lines, flow, from, until);
    return RP_CLI_OK;
}

int
RpCli_Explain(int argc, char **argv)
{
    struct explain_settings settings = {0};
    int exit_code;

    if (!RpCli_ReadSettings(settings_table, G_N_ELEMENTS(settings_table),
                            "radishport explain",
                            "Reads the log lines of all processes and prints "
                            "what happened to one request, in time order, and "
                            "which events are missing.",
                            argc, argv, &settings, &exit_code)) {
        return exit_code;
    }
    FILE *in = stdin;
    if (settings.file) {
        in = fopen(settings.file->str, "r");
        if (!in) {
            fprintf(stderr, "%s: cannot open: %s\n", settings.file->str,
                    strerror(errno));
            return RP_CLI_USAGE;
        }
    }
    GArray *lines = read_lines(in);
    exit_code = explain_request(lines,
                                (struct rp_str){.data = settings.query->str,
                                                .len = settings.query->len});
    g_array_free(lines, TRUE);
    if (in != stdin) {
        fclose(in);
    }
    return exit_code;
}
