/**
 * A plain service that answers nothing but health checks, and records when requests come and when they are cancelled.
 *
 * @module
 */
import { createServer, type Server } from "node:http";
import { type AddressInfo } from "node:net";

const HEALTH_PATH = "/healthz";

/** When a request arrived, and when its connection was closed; `undefined` while it is open. */
export interface RecordedRequest {
    readonly arrivedAtMilliseconds: number;
    cancelledAtMilliseconds: number | undefined;
}

/** A running service; `close` ends it. */
export class RecordingService {
    /** By the path of the request. */
    readonly requests = new Map<string, RecordedRequest>();
    readonly #server: Server;

    private constructor() {
        this.#server = createServer((message, response) => {
            if (message.url === HEALTH_PATH) {
                response.end();
                return;
            }
            message.resume();
            const recorded: RecordedRequest = {
                arrivedAtMilliseconds: performance.now(),
                cancelledAtMilliseconds: undefined,
            };
            this.requests.set(message.url ?? "", recorded);
            response.on("close", () => {
                recorded.cancelledAtMilliseconds = performance.now();
            });
        });
    }

    static async start(): Promise<RecordingService> {
        const service = new RecordingService();
        await new Promise<void>(resolve => service.#server.listen(0, "127.0.0.1", resolve));
        return service;
    }

    get address(): string {
        return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
    }

    close(): void {
        this.#server.closeAllConnections();
        this.#server.close();
    }
}
