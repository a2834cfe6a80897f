/**
 * The `explain` command.
 *
 * @module
 */
import { Command, Option } from "clipanion";
import { createReadStream, statSync } from "node:fs";
import { createInterface } from "node:readline";
import { type Readable, type Writable } from "node:stream";
import { renderTimeline, RequestTimeline } from "../explain/index.js";
import { type CommandOutcome, OperatorCommand } from "./_operatorCommand.js";
import { EXIT_CODES } from "./exitCodes.js";

const PROGRESS_INTERVAL_BYTES = 64 * 1024 * 1024;
const BYTES_PER_MEGABYTE = 1024 * 1024;

/** Prints the timeline of one request from hosts' logs. */
export class ExplainCommand extends OperatorCommand {
    static override paths = [["explain"]];
    static override usage = Command.Usage({
        description: "Tell the story of a request out of the logs of any number of hosts.",
        details: "Reads standard input where no file is named. Lines may be in any order. Each step is shown with the"
            + " changes of belief before it: configuration, upstreams, holders, the key-value service.",
        examples: [
            ["Explain a request", "$0 explain 9c41d07be2a35f68 entry-1.log entry-2.log"],
            ["Out of a stream", "cat *.log | $0 explain 9c41d07be2a35f68"],
        ],
    });

    request = Option.String({ required: true, name: "request" });
    files = Option.Rest({ name: "file" });

    protected override async perform(): Promise<CommandOutcome> {
        const timeline = new RequestTimeline(this.request);
        const unreadable = this.files.find(file => !isReadable(file));
        if (unreadable !== undefined) {
            return {
                exitCode: EXIT_CODES.usage,
                data: { ok: false, file: unreadable },
                text: `cannot read ${unreadable}`,
            };
        }
        const sources = this.files.length === 0 ? [this.context.stdin] : this.files.map(file => createReadStream(file));
        for (const source of sources) {
            await addLines(source, timeline, this.context.stderr);
        }
        const steps = timeline.steps();
        if (steps.length === 0) {
            const text = `no line names the request ${this.request}`;
            return { exitCode: EXIT_CODES.failed, data: { ok: false, message: text }, text };
        }
        return { exitCode: EXIT_CODES.ok, data: { ok: true, steps }, text: renderTimeline(steps) };
    }
}

function isReadable(file: string): boolean {
    return statSync(file, { throwIfNoEntry: false })?.isFile() === true;
}

/** Adds the lines of a source to a timeline, and prints progress on a terminal. */
async function addLines(source: Readable, timeline: RequestTimeline, progress: Writable): Promise<void> {
    const showsProgress = (progress as { readonly isTTY?: boolean; }).isTTY === true;
    let readBytes = 0;
    let reportedBytes = 0;
    for await (const line of createInterface({ input: source, crlfDelay: Number.POSITIVE_INFINITY })) {
        timeline.addLine(line);
        readBytes += line.length + 1;
        if (showsProgress && readBytes - reportedBytes >= PROGRESS_INTERVAL_BYTES) {
            reportedBytes = readBytes;
            progress.write(`read ${Math.round(readBytes / BYTES_PER_MEGABYTE)} MB\r`);
        }
    }
}
