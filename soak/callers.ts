/**
 * Callers of a soak, which behave as the platform's pages say: they ask a host where to connect, send several requests
 * on connections that they keep, and retry where they are told to.
 *
 * @module
 */
import { Agent, type ClientRequest, type IncomingMessage, request as sendRequest } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { accountOf } from "./accounts.js";
import { callInterface, type SoakHost } from "./hostProcess.js";
import { type RequestEnding, type RequestKind, type RequestRecord } from "./records.js";
import { PORTS, SITE_HOST } from "./settings.js";
import { digestOf, type SoakLog } from "./soakLog.js";

const CONNECT_MILLISECONDS = 1_000;
const ADDRESSES_KEPT_MILLISECONDS = 2_000;
const DIRECTORIES_ASKED = 3;
const FAILED_HOST_MILLISECONDS = 2_000;
const LONGEST_THOUGHT_MILLISECONDS = 80;
const REQUESTS_PER_CONNECTION = 60;
/** Part of the requests whose caller leaves before the answer. */
const LEAVING_PART = 0.02;
const LEAVING_MILLISECONDS = 100;

const PATHS: Readonly<Record<RequestKind, string>> = {
    order: "/orders/800",
    read: "/reads/800",
    chat: "/chat/12/200",
    digest: "/digest/30/200",
};
const KINDS: readonly RequestKind[] = ["order", "order", "order", "read", "read", "chat", "chat", "digest"];

/** A request, and how its caller behaves. */
export interface CallerRequest {
    readonly kind: RequestKind;
    readonly path?: string;
    readonly body?: Buffer;
    /** Bytes of the body that the caller states and never sends. */
    readonly withheldBytes?: number;
    readonly agent?: Agent;
    readonly deadlineMilliseconds?: number;
    /** The caller closes its connection after this time. */
    readonly leaveAfterMilliseconds?: number | undefined;
    /** The caller reads nothing of the answer's body for this time. */
    readonly unreadMilliseconds?: number;
}

let requestCount = 0;

/** Calls back once a connection is made; `false` where it takes too long. */
function observeConnection(request: ClientRequest, onConnected: (isConnected: boolean) => void): void {
    request.once("socket", socket => {
        if (!socket.connecting) {
            onConnected(true);
            return;
        }
        const timer = setTimeout(() => onConnected(false), CONNECT_MILLISECONDS);
        socket.once("connect", () => onConnected(true));
        socket.once("close", () => clearTimeout(timer));
        socket.once("connect", () => clearTimeout(timer));
    });
}

async function readBody(answer: IncomingMessage, unreadMilliseconds: number): Promise<Buffer> {
    if (unreadMilliseconds > 0) {
        await delay(unreadMilliseconds);
    }
    const pieces: Buffer[] = [];
    for await (const piece of answer) {
        pieces.push(piece as Buffer);
    }
    return Buffer.concat(pieces);
}

/** Sends a request to a host, and records how it ended. */
export function sendToHost(
    log: SoakLog,
    host: Pick<SoakHost, "address" | "name">,
    caller: CallerRequest,
): Promise<RequestRecord & { readonly retryAfterSeconds: number; }> {
    requestCount += 1;
    const { body, deadlineMilliseconds = 4_000, kind, unreadMilliseconds = 0, withheldBytes = 0 } = caller;
    const id = `${process.pid.toString(16)}-${requestCount}`;
    const startedAt = log.now();
    let [isConnected, hasLeft, isOver]: boolean[] = [false, false, false];
    let writtenAt: number | undefined;
    return new Promise(resolve => {
        const finish = (
            answer: IncomingMessage | undefined,
            ending: RequestEnding,
            bytes: Buffer = Buffer.alloc(0),
        ): void => {
            timers.forEach(timer => clearTimeout(timer));
            if (isOver) {
                return;
            }
            isOver = true;
            const header = (name: string): string | undefined => answer?.headers[name] as string | undefined;
            const record = {
                type: "request" as const,
                id,
                kind,
                account: accountOf(id).name,
                host: host.name,
                startedAt,
                writtenAt,
                endedAt: log.now(),
                deadlineMilliseconds,
                isSlow: unreadMilliseconds > 0 || withheldBytes > 0,
                ending: hasLeft && ending !== "answered" ? "left" : ending,
                status: answer?.statusCode,
                signature: header("flamingospread-response-signature"),
                answeredId: header("flamingospread-request-id"),
                digest: digestOf(bytes),
            };
            log.add(record);
            resolve({ ...record, retryAfterSeconds: Number(header("retry-after") ?? 0) });
        };
        const request = sendRequest({
            host: host.address,
            port: PORTS.callers,
            agent: caller.agent ?? false,
            method: "POST",
            path: caller.path ?? PATHS[kind],
            headers: {
                "Host": SITE_HOST,
                "Authorization": `Bearer ${accountOf(id).key}`,
                "Flamingospread-Request-Id": id,
                "Flamingospread-Deadline-Ms": String(deadlineMilliseconds),
                "Content-Length": String((body?.length ?? 0) + withheldBytes),
                ...kind === "chat" || kind === "digest" ? { "Flamingospread-Model": "quotes" } : {},
            },
        });
        const leave = (): void => {
            hasLeft = true;
            request.destroy();
        };
        const timers = [deadlineMilliseconds, caller.leaveAfterMilliseconds]
            .filter(milliseconds => milliseconds !== undefined)
            .map(milliseconds => setTimeout(leave, milliseconds));
        observeConnection(request, isMade => {
            isConnected = isMade;
            if (!isMade) {
                request.destroy();
            }
        });
        request.on("finish", () => writtenAt = log.now());
        request.on("response", answer => {
            readBody(answer, unreadMilliseconds).then(
                bytes => finish(answer, answer.complete ? "answered" : "broken", bytes),
                () => finish(answer, "broken"),
            );
        });
        request.on("error", (error: NodeJS.ErrnoException) => {
            const isGarbled = error.code?.startsWith("HPE_") === true;
            const ending = isConnected ? "broken" : "not-connected";
            finish(undefined, isGarbled ? "garbled" : ending);
        });
        if (withheldBytes > 0) {
            request.write(body);
        }
        else {
            request.end(body);
        }
    });
}

/** A caller that sends one request after another; `close` ends it after the request that is under way. */
export class SoakCaller {
    readonly #log: SoakLog;
    readonly #hosts: readonly SoakHost[];
    readonly #random: () => number;
    readonly #failedUntil = new Map<string, number>();
    readonly #done: Promise<void>;
    #addresses: readonly string[] = [];
    #addressesUntil = 0;
    #isClosed = false;

    constructor(log: SoakLog, hosts: readonly SoakHost[], random: () => number) {
        this.#log = log;
        this.#hosts = hosts;
        this.#random = random;
        this.#done = this.#run();
    }

    close(): Promise<void> {
        this.#isClosed = true;
        return this.#done;
    }

    #pick<T>(list: readonly T[]): T | undefined {
        return list[Math.floor(this.#random() * list.length)];
    }

    async #run(): Promise<void> {
        while (!this.#isClosed) {
            await this.#resolveAddresses();
            const host = this.#pick(
                this.#hosts.filter(({ address, name }) =>
                    this.#addresses.includes(address) && (this.#failedUntil.get(name) ?? 0) < this.#log.now()
                ),
            );
            const waitMilliseconds = host === undefined
                ? LONGEST_THOUGHT_MILLISECONDS
                : await this.#useConnection(host);
            await delay(waitMilliseconds);
        }
    }

    /** Keeps the addresses that it had where no host names any. */
    async #resolveAddresses(): Promise<void> {
        for (let asked = 0; asked < DIRECTORIES_ASKED && this.#log.now() >= this.#addressesUntil; asked += 1) {
            const address = this.#pick(this.#hosts)?.address ?? "";
            const path = `/resolve?name=${SITE_HOST}&region=ma-west&zone=casa-a`;
            const answer = await callInterface(address, PORTS.directory, path);
            const { addresses } = answer?.status === 200
                ? JSON.parse(answer.text) as { readonly addresses: readonly string[]; }
                : { addresses: [] };
            if (addresses.length > 0) {
                this.#addresses = addresses.map(named => named.split(":")[0] ?? "");
                this.#addressesUntil = this.#log.now() + ADDRESSES_KEPT_MILLISECONDS;
            }
        }
    }

    /** Sends requests on one connection until it fails or a request is refused; returns the time to wait. */
    async #useConnection(host: SoakHost): Promise<number> {
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        for (let count = 0; count < REQUESTS_PER_CONNECTION && !this.#isClosed; count += 1) {
            const leaves = this.#random() < LEAVING_PART;
            const { deadlineMilliseconds, ending, retryAfterSeconds, status } = await sendToHost(this.#log, host, {
                kind: this.#pick(KINDS) ?? "order",
                agent,
                leaveAfterMilliseconds: leaves ? this.#random() * LEAVING_MILLISECONDS : undefined,
            });
            if (ending === "broken" || ending === "not-connected") {
                this.#failedUntil.set(host.name, this.#log.now() + FAILED_HOST_MILLISECONDS);
                break;
            }
            if (status === 503 || status === 429) {
                agent.destroy();
                return Math.min(retryAfterSeconds * 1_000, deadlineMilliseconds / 3);
            }
            await delay(this.#random() * LONGEST_THOUGHT_MILLISECONDS);
        }
        agent.destroy();
        return 0;
    }
}
