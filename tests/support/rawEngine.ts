/**
 * An engine whose answers the test writes byte by byte.
 *
 * @module
 */
import { type Socket } from "node:net";
import { PlatformUpstreamStandIn } from "../../standins/platform/upstream.js";
import { type EntrySite } from "./entrySite.js";
import { startRawServer } from "./rawServer.js";

/** A request that the engine received. */
export interface RawRequest {
    readonly id: string;
    readonly path: string;
}

/** A running engine. */
export interface RawEngine {
    readonly received: readonly RawRequest[];
    /** Connections that are open. */
    readonly sockets: ReadonlySet<Socket>;
    close(): Promise<void>;
}

/** Returns the head of a success, with further lines that each end with CR and LF. */
export function renderHead(id: string, lines: string, status = "200 OK"): string {
    return `HTTP/1.1 ${status}\r\nFlamingospread-Request-Id: ${id}\r\nFlamingospread-Response-Signature: s\r\n${lines}\r\n`;
}

/**
 * Starts an engine and announces it as a plain service.
 *
 * @param site The site.
 * @param id Its identifier.
 * @param answer Called with each request and its connection; requests have no body.
 */
export async function startRawEngine(
    site: EntrySite,
    id: string,
    answer: (request: RawRequest, socket: Socket) => void,
): Promise<RawEngine> {
    const announced = await PlatformUpstreamStandIn.start({ id, slots: 100 });
    const received: RawRequest[] = [];
    const server = await startRawServer((socket, piece) => {
        const text = piece.toString("latin1");
        const request = {
            id: /flamingospread-request-id: (\S+)/i.exec(text)?.[1] ?? "",
            path: text.split(" ")[1] ?? "",
        };
        if (request.id === "") {
            socket.write(`HTTP/1.1 200 OK\r\nFlamingospread-Instance-Id: ${id}\r\nContent-Length: 0\r\n\r\n`);
            return;
        }
        received.push(request);
        answer(request, socket);
    });
    const { address, sockets } = server;
    site.store.put(`servers/${id}`, { ...announced.announcement("plain"), address });
    return {
        received,
        sockets,
        close: async () => {
            server.close();
            await announced.close();
        },
    };
}
