package org.cornelcove.model.view;

/** Whether a target receives requests. */
public enum TargetState {
    /** Takes requests. */
    LIVE,
    /** Asked for no new requests. */
    LEAVING,
    /** Has not announced itself lately; gets no new requests. */
    SILENT
}
