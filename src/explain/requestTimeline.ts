/**
 * Gathers what the logs of all hosts say of one request.
 *
 * @module
 */

/** Beliefs that are kept, at most; those that were replaced are dropped first. */
const MOST_BELIEFS = 50_000;

/** Changes of belief on the same host that are shown before a line, by age. */
const RECENT_MILLISECONDS = 5_000;

/** Changes of belief that are shown before a line, at most. */
const MOST_SHOWN = 6;

/** Messages that tell of a change of belief. */
const BELIEF_MESSAGES: ReadonlySet<string> = new Set([
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

/** What happened to a request on one host at one time, and the changes of belief there before it. */
export interface TimelineStep {
    readonly line: LogLine;
    readonly beliefs: readonly LogLine[];
}

/** Parses a line; `undefined` for one that is no line of a host's log. */
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
 * Takes lines in any order and keeps those that bear on one request, so that logs of any size fit.
 *
 * @example
 * ```ts
 * const story = new RequestStory("9c41d07be2a35f68");
 * lines.forEach(line => story.take(line));
 * story.steps().forEach(({ line }) => console.log(line.message));
 * ```
 */
export class RequestTimeline {
    readonly #request: string;
    readonly #lines: LogLine[] = [];
    #beliefs: LogLine[] = [];

    constructor(request: string) {
        this.#request = request;
    }

    addLine(text: string): void {
        const mentions = text.includes(this.#request);
        if (!mentions && !mayBeBelief(text)) {
            return;
        }
        const line = parseLogLine(text);
        if (line === undefined) {
            return;
        }
        if (line.fields["request"] === this.#request) {
            this.#lines.push(line);
        }
        else if (BELIEF_MESSAGES.has(line.message)) {
            this.#beliefs.push(line);
            this.#bound();
        }
    }

    /** Gives the steps of the request in order of time; none where no line names it. */
    steps(): TimelineStep[] {
        const ordered = [...this.#lines].sort((left, right) => left.atMilliseconds - right.atMilliseconds);
        const beliefs = [...this.#beliefs].sort((left, right) => left.atMilliseconds - right.atMilliseconds);
        return ordered.map(line => ({ line, beliefs: relevantBeliefs(line, beliefs) }));
    }

    /** Keeps the newest half, by time, once there are too many. */
    #bound(): void {
        if (this.#beliefs.length > MOST_BELIEFS) {
            const around = this.#lines[0]?.atMilliseconds;
            const weight = (line: LogLine): number =>
                around === undefined ? -line.atMilliseconds : Math.abs(line.atMilliseconds - around);
            this.#beliefs.sort((left, right) => weight(left) - weight(right));
            this.#beliefs = this.#beliefs.slice(0, MOST_BELIEFS / 2);
        }
    }
}

function mayBeBelief(text: string): boolean {
    return !text.includes("\"request sent\"") && !text.includes("\"request ended\"");
}

/** Changes on the line's host before it: those of its upstream and model whenever they were, and other recent ones. */
function relevantBeliefs(line: LogLine, beliefs: readonly LogLine[]): LogLine[] {
    const upstream = line.fields["upstream"];
    const model = line.fields["model"];
    const before = beliefs.filter(belief => belief.atMilliseconds <= line.atMilliseconds);
    const onHost = before.filter(({ host }) => host === line.host);
    const configuration = onHost.findLast(({ message }) => message === "configuration in force");
    const ofUpstream = onHost.findLast(({ fields }) => upstream !== undefined && fields["upstream"] === upstream);
    const ofModel = before.findLast(({ fields }) => model !== undefined && fields["model"] === model);
    const recent = onHost.filter(belief => line.atMilliseconds - belief.atMilliseconds < RECENT_MILLISECONDS);
    const all = new Set([configuration, ofUpstream, ofModel, ...recent.slice(-MOST_SHOWN)]);
    return [...all].filter(belief => belief !== undefined)
        .sort((left, right) => left.atMilliseconds - right.atMilliseconds);
}

/**
 * Renders a story for a reader.
 *
 * @param steps The steps, in order of time.
 *
 * @example
 * ```ts
 * console.log(renderStory(story.steps()));
 * ```
 */
export function renderTimeline(steps: readonly TimelineStep[]): string {
    const first = steps[0]?.line.atMilliseconds ?? 0;
    const shown = new Set<LogLine>();
    return steps.flatMap(({ beliefs, line }) => {
        const news = beliefs.filter(belief => !shown.has(belief));
        news.forEach(belief => shown.add(belief));
        return [
            ...news.map(belief => {
                const age = line.atMilliseconds - belief.atMilliseconds;
                return `      ${age} ms before, ${belief.host}: ${belief.message}${renderFields(belief)}`;
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
