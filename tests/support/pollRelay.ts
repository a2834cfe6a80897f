/**
 * A relay between one host and the store, which counts the host's calls and can hold back the answers to its polls.
 *
 * @module
 */
import { createServer, request as sendRequest, type Server } from "node:http";
import { type AddressInfo } from "node:net";
import { parseAddress } from "../../src/transport/index.js";

const LOOPBACK = "127.0.0.1";
const POLL_PATH = "/kv-watch";
const LISTING_PATH = "/kv-range";

/** A poll that may wait for longer is a watch; others ask for the changes until now. */
const SHORT_WAIT_MILLISECONDS = 100;

function isPoll(url: string): boolean {
    return url.startsWith(POLL_PATH);
}

/** Returns whether a call is a poll that waits for changes. */
export function isWatch(url: string): boolean {
    return isPoll(url) && Number(new URL(url, "http://store").searchParams.get("waitMs")) > SHORT_WAIT_MILLISECONDS;
}

/** A running relay. */
export class PollRelay {
    /** Paths of the calls of the host, oldest first. */
    readonly calls: string[] = [];
    /** Delay of each page of a listing. */
    pageDelayMilliseconds = 0;
    readonly #server: Server;
    readonly #target: { readonly host: string; readonly port: number; };
    /** Chooses the calls whose answers are held back; `undefined` where none are. */
    #isHeld: ((url: string) => boolean) | undefined;
    #held: (() => void)[] = [];

    private constructor(targetAddress: string) {
        this.#target = parseAddress(targetAddress).unwrap();
        this.#server = createServer((message, response) => {
            const { headers, method, url = "" } = message;
            this.calls.push(url);
            const forwarded = sendRequest({ ...this.#target, method, path: url, headers }, answer => {
                const deliver = (): void => {
                    response.writeHead(answer.statusCode ?? 0, answer.headers);
                    answer.pipe(response);
                };
                if (this.#isHeld?.(url) === true) {
                    this.#held.push(deliver);
                }
                else if (url.startsWith(LISTING_PATH)) {
                    setTimeout(deliver, this.pageDelayMilliseconds);
                }
                else {
                    deliver();
                }
            });
            forwarded.on("error", () => response.destroy());
            response.on("close", () => forwarded.destroy());
            message.pipe(forwarded);
        });
    }

    /** Starts a relay in front of a store. */
    static async start(targetAddress: string): Promise<PollRelay> {
        const relay = new PollRelay(targetAddress);
        await new Promise<void>(resolve => relay.#server.listen(0, LOOPBACK, resolve));
        return relay;
    }

    get address(): string {
        return `${LOOPBACK}:${(this.#server.address() as AddressInfo).port}`;
    }

    /**
     * Holds back answers to polls until `release`.
     *
     * @param isHeld Chooses the calls; all polls by default, those that do not wait included.
     */
    hold(isHeld: (url: string) => boolean = isPoll): void {
        this.#isHeld = isHeld;
    }

    release(): void {
        this.#isHeld = undefined;
        this.#held.splice(0).forEach(deliver => deliver());
    }

    /** Closes the host's connections without the answers that are held back. */
    disconnect(): void {
        this.#held = [];
        this.#isHeld = undefined;
        this.#server.closeAllConnections();
    }

    async close(): Promise<void> {
        this.release();
        this.#server.closeAllConnections();
        await new Promise(resolve => this.#server.close(resolve));
    }
}
