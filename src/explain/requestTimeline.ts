/**
 * Collects the log lines of all hosts that concern one request, and the changes of local state before them.
 *
 * @module
 */

/** Maximum number of state changes kept; above it, those farthest in time from the request are dropped. */
const MAXIMUM_STATE_CHANGES = 50_000;

/** Maximum age of the recent state changes on the same host that are shown before a line. */
const RECENT_MILLISECONDS = 5_000;

/** Maximum number of recent state changes shown before a line. */
const MAXIMUM_RECENT_CHANGES = 6;

/** Maximum number of requests suspected of crashes that are shown before a line. */
const MAXIMUM_SUSPICIONS = 4;

/** Messages of log lines that report a change of a host's local state, such as its view of upstreams. */
const STATE_CHANGE_MESSAGES: ReadonlySet<string> = new Set([
    "starting",
    "stopping",
    "closed to callers",
    "settings reloaded",
    "configuration in force",
    "key-value service lost",
    "key-value service regained",
    "key-value service listed",
    "watch restarted",
    "session began",
    "session lost",
    "upstream joined",
    "upstream left",
    "upstream in-doubt",
    "upstream limit changed",
    "engine taken",
    "engine released",
    "engine relinquished",
    "engine ordered",
    "engine report read",
    "planner changed",
    "move planned",
    "move begun",
    "move refused",
    "move given up",
    "other cells not heard",
    "other cells heard again",
    "request suspected of a crash",
    "requests that crash upstreams are refused",
    "requests are no longer refused for crashes",
    "state taken from a peer",
    "log lines left out",
]);

/** One line of a log. */
export interface LogLine {
    readonly timestamp: string;
    readonly atMilliseconds: number;
    readonly host: string;
    readonly message: string;
    readonly fields: Readonly<Record<string, unknown>>;
}

/** A log line of a request, and the state changes before it. */
export interface TimelineStep {
    readonly line: LogLine;
    /** State changes that bear on the line, oldest first. `explain --json` prints them under this name. */
    readonly beliefs: readonly LogLine[];
}

/** Parses a line; returns `undefined` for text that is no line of a host's log. */
export function parseLogLine(text: string): LogLine | undefined {
    const start = text.indexOf("{");
    if (start === -1) {
        return undefined;
    }
    try {
        const { host, message, timestamp, ...fields } = JSON.parse(text.slice(start)) as Record<string, unknown>;
        if (typeof message !== "string" || typeof timestamp !== "string") {
            return undefined;
        }
        return { timestamp, atMilliseconds: Date.parse(timestamp), host: String(host), message, fields };
    }
    catch {
        return undefined;
    }
}

/**
 * Accepts lines in any order and keeps only those that bear on one request, so that logs of any size fit in memory.
 *
 * @example
 * ```ts
 * const timeline = new RequestTimeline("9c41d07be2a35f68");
 * lines.forEach(line => timeline.addLine(line));
 * timeline.steps().forEach(({ line }) => console.log(line.message));
 * ```
 */
export class RequestTimeline {
    readonly #request: string;
    readonly #lines: LogLine[] = [];
    #stateChanges: LogLine[] = [];

    constructor(request: string) {
        this.#request = request;
    }

    addLine(text: string): void {
        const namesRequest = text.includes(this.#request);
        if (!namesRequest && !mayBeStateChange(text)) {
            return;
        }
        const line = parseLogLine(text);
        if (line === undefined) {
            return;
        }
        if (line.fields["request"] === this.#request) {
            this.#lines.push(line);
        }
        else if (STATE_CHANGE_MESSAGES.has(line.message)) {
            this.#stateChanges.push(line);
            this.#limitStateChanges();
        }
    }

    /** Returns the steps of the request in order of time; none where no line names it. */
    steps(): TimelineStep[] {
        const ordered = [...this.#lines].sort((left, right) => left.atMilliseconds - right.atMilliseconds);
        const stateChanges = [...this.#stateChanges].sort((left, right) => left.atMilliseconds - right.atMilliseconds);
        return ordered.map(line => ({ line, beliefs: relevantChanges(line, stateChanges) }));
    }

    /**
     * Drops half of the state changes once there are too many: those farthest in time from the first line of the
     * request that was added, or the oldest while none was added.
     */
    #limitStateChanges(): void {
        if (this.#stateChanges.length > MAXIMUM_STATE_CHANGES) {
            const requestAtMilliseconds = this.#lines[0]?.atMilliseconds;
            const distance = (line: LogLine): number =>
                requestAtMilliseconds === undefined
                    ? -line.atMilliseconds
                    : Math.abs(line.atMilliseconds - requestAtMilliseconds);
            this.#stateChanges.sort((left, right) => distance(left) - distance(right));
            this.#stateChanges = this.#stateChanges.slice(0, MAXIMUM_STATE_CHANGES / 2);
        }
    }
}

/** Returns false for two frequent messages of other requests, so that their lines are not parsed. */
function mayBeStateChange(text: string): boolean {
    return !text.includes("\"request sent\"") && !text.includes("\"request ended\"");
}

/**
 * Returns the state changes before a line that bear on it.
 *
 * These are the last change of its model on any host, and on its own host the last configuration, the last change of
 * its upstream and of the rate limit that concerned it, the conviction of what it shares with requests that crashed
 * upstreams with some of these, and other recent changes.
 */
function relevantChanges(line: LogLine, stateChanges: readonly LogLine[]): LogLine[] {
    const upstream = line.fields["upstream"];
    const model = line.fields["model"];
    const before = stateChanges.filter(change => change.atMilliseconds <= line.atMilliseconds);
    const onHost = before.filter(({ host }) => host === line.host);
    const configuration = onHost.findLast(({ message }) => message === "configuration in force");
    const ofUpstream = onHost.findLast(({ fields }) => upstream !== undefined && fields["upstream"] === upstream);
    const limited = line.fields["limitedUpstream"];
    const ofLimit = onHost.findLast(({ fields, message }) =>
        limited !== undefined && message === "upstream limit changed" && fields["upstream"] === limited
    );
    const ofModel = before.findLast(({ fields }) => model !== undefined && fields["model"] === model);
    const ofCrashes = crashChanges(line.fields["attribute"], before, onHost);
    const recent = onHost.filter(change => line.atMilliseconds - change.atMilliseconds < RECENT_MILLISECONDS);
    const all = new Set([
        configuration,
        ofUpstream,
        ofLimit,
        ofModel,
        ...ofCrashes,
        ...recent.slice(-MAXIMUM_RECENT_CHANGES),
    ]);
    return [...all].filter(change => change !== undefined)
        .sort((left, right) => left.atMilliseconds - right.atMilliseconds);
}

/** Returns the host's last conviction of an attribute, and the last crashes on any host that it was suspected of. */
function crashChanges(attribute: unknown, before: readonly LogLine[], onHost: readonly LogLine[]): LogLine[] {
    if (typeof attribute !== "string") {
        return [];
    }
    const conviction = onHost.findLast(({ fields, message }) =>
        message === "requests that crash upstreams are refused"
        && String(fields["attributes"]).split(" ").includes(attribute)
    );
    const suspicions = before.filter(({ fields, message }) =>
        message === "request suspected of a crash" && hasAttribute(fields, attribute)
    );
    return [...suspicions.slice(-MAXIMUM_SUSPICIONS), ...conviction === undefined ? [] : [conviction]];
}

/** Returns whether a suspected request has an attribute, which is named `part:...` or `request:...`. */
function hasAttribute(fields: LogLine["fields"], attribute: string): boolean {
    const parts = String(fields["promptParts"]).split(",");
    return attribute === `request:${String(fields["fingerprint"])}` || parts.some(part => attribute === `part:${part}`);
}

/**
 * Renders a timeline as text: one line for each step, and one for each state change before it not shown before.
 *
 * @param steps The steps, in order of time.
 *
 * @example
 * ```ts
 * console.log(renderTimeline(timeline.steps()));
 * ```
 */
export function renderTimeline(steps: readonly TimelineStep[]): string {
    const first = steps[0]?.line.atMilliseconds ?? 0;
    const shown = new Set<LogLine>();
    return steps.flatMap(({ beliefs, line }) => {
        const newChanges = beliefs.filter(change => !shown.has(change));
        newChanges.forEach(change => shown.add(change));
        return [
            ...newChanges.map(change => {
                const ageMilliseconds = line.atMilliseconds - change.atMilliseconds;
                return `      ${ageMilliseconds} ms before, ${change.host}: ${change.message}${renderFields(change)}`;
            }),
            `${line.timestamp} +${line.atMilliseconds - first} ms ${line.host}: ${line.message}${renderFields(line)}`,
        ];
    }).join("\n");
}

function renderFields({ fields }: LogLine): string {
    const shown = Object.entries(fields).filter(([name]) => name !== "request" && name !== "level");
    return shown.map(([name, value]) => ` ${name}=${typeof value === "string" ? value : JSON.stringify(value)}`).join(
        "",
    );
}
