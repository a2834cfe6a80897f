/**
 * Counts requests in hosts' logs by outcome, reasons for waiting and failed attempts.
 *
 * Run with `npx tsx measurements/causes.ts LOG [FROM UNTIL]`. Each line of the log is a host's JSON line, optionally
 * prefixed with the time in seconds and the host's name by the run; FROM and UNTIL select requests by arrival time.
 *
 * @module
 */
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";

/** First-byte targets of streams and of other answers; fixed, as the logs don't contain the targets of the routes. */
const STREAM_TARGET_MILLISECONDS = 550;
const ANSWER_TARGET_MILLISECONDS = 121;

const MILLISECONDS_PER_SECOND = 1_000;
const MAXIMUM_ROWS = 40;

interface LoggedRequest {
    arrivedAtSeconds: number;
    readonly isStream: boolean;
    readonly waitedFor: string[];
    readonly failures: string[];
    outcome: string | undefined;
    isInTime: boolean;
}

type Fields = Readonly<Record<string, unknown>>;

function textOf(value: unknown): string {
    return typeof value === "string" ? value : "";
}

function numberOf(value: unknown): number | undefined {
    return typeof value === "number" ? value : undefined;
}

function recordEnd(request: LoggedRequest, fields: Fields, seconds: number): void {
    const tookMilliseconds = numberOf(fields["tookMilliseconds"]) ?? 0;
    const firstByteMilliseconds = numberOf(fields["firstByteMilliseconds"]) ?? tookMilliseconds;
    request.outcome = textOf(fields["outcome"]);
    request.arrivedAtSeconds = seconds - tookMilliseconds / MILLISECONDS_PER_SECOND;
    request.isInTime =
        firstByteMilliseconds <= (request.isStream ? STREAM_TARGET_MILLISECONDS : ANSWER_TARGET_MILLISECONDS);
}

/** Records one line of a host's log; ignores lines without JSON or without a request. */
function recordLine(line: string, requests: Map<string, LoggedRequest>): void {
    const begin = line.indexOf("{");
    const [seconds = "0", host = ""] = line.slice(0, Math.max(0, begin)).trim().split(/\s+/);
    let fields: Fields;
    try {
        fields = JSON.parse(line.slice(begin)) as Fields;
    }
    catch {
        return;
    }
    const identifier = textOf(fields["request"]);
    if (identifier === "") {
        return;
    }
    const atSeconds = Number(seconds) || 0;
    const key = `${host} ${identifier}`;
    const known = requests.get(key);
    const request = known ?? {
        arrivedAtSeconds: atSeconds,
        isStream: fields["model"] !== undefined,
        waitedFor: [],
        failures: [],
        outcome: undefined,
        isInTime: false,
    };
    requests.set(key, request);
    switch (fields["message"]) {
        case "request waits":
            request.waitedFor.push(textOf(fields["reason"]));
            break;
        case "attempt failed":
            request.failures.push(textOf(fields["reason"]));
            break;
        case "request ended":
            recordEnd(request, fields, atSeconds);
    }
}

function describe({ failures, isInTime, isStream, outcome, waitedFor }: LoggedRequest): string {
    const answered = isInTime ? "in time" : "late";
    return [
        isStream ? "stream" : "other",
        outcome === "answered" ? answered : outcome ?? "no end (the host was killed)",
        [...new Set(waitedFor)].join(", "),
        failures.join(", "),
    ].join(" | ");
}

const [file, from = "-Infinity", until = "Infinity"] = process.argv.slice(2);
if (file === undefined) {
    console.error("usage: npx tsx measurements/causes.ts LOG [FROM UNTIL]");
    process.exit(1);
}
const requests = new Map<string, LoggedRequest>();
for await (const line of createInterface({ input: createReadStream(file) })) {
    recordLine(line, requests);
}
const rows = new Map<string, number>();
for (const request of requests.values()) {
    if (request.arrivedAtSeconds >= Number(from) && request.arrivedAtSeconds < Number(until)) {
        const row = describe(request);
        rows.set(row, (rows.get(row) ?? 0) + 1);
    }
}
console.log("| requests | kind | end | waited for | failed tries |\n|---|---|---|---|---|");
for (const [row, count] of [...rows].sort(([, left], [, right]) => right - left).slice(0, MAXIMUM_ROWS)) {
    console.log(`| ${count} | ${row} |`);
}
