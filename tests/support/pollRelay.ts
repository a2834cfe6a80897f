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

/** A running relay. */
export class PollRelay {
    /** Paths of the calls of the host, oldest first. */
    readonly calls: string[] = [];
    /** Delay of each page of a listing. */
    pageDelayMilliseconds = 0;
    readonly #server: Server;
    readonly #target: { readonly host: string; readonly port: number; };
    #isHolding = false;
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
                if (this.#isHolding && url.startsWith(POLL_PATH)) {
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

    /** Holds back answers to polls until `release`. */
    hold(): void {
        this.#isHolding = true;
    }

    release(): void {
        this.#isHolding = false;
        this.#held.splice(0).forEach(deliver => deliver());
    }

    /** Closes the host's connections without the answers that are held back. */
    disconnect(): void {
        this.#held = [];
        this.#isHolding = false;
        this.#server.closeAllConnections();
    }

    async close(): Promise<void> {
        this.release();
        this.#server.closeAllConnections();
        await new Promise(resolve => this.#server.close(resolve));
    }
}
