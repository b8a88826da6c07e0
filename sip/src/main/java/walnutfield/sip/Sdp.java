package walnutfield.sip;

import gov.nist.javax.sdp.MediaDescriptionImpl;
import gov.nist.javax.sdp.SessionDescriptionImpl;
import gov.nist.javax.sdp.parser.SDPAnnounceParser;
import java.util.Vector;
import javax.sdp.BandWidth;
import javax.sdp.SdpException;

/**
 * A session description (RFC 8866), parsed by JAIN-SIP for what it says about video. It can be written again with
 * another video bandwidth; lines that are not understood are kept unchanged.
 *
 * @param text          as received
 * @param hasVideo      whether it has a video stream that is not rejected by port 0 (RFC 3264, section 6)
 * @param videoKbitPerS bandwidth for video in kbit/s: the lowest of the video's b=AS and b=TIAS (RFC 3890) and of the
 *                      session's b=CT or b=AS minus the audio's bandwidth; NaN if none is given
 */
public record Sdp(String text, boolean hasVideo, double videoKbitPerS) {
    private static final int MAX_LENGTH = 16_384; // in characters

    /**
     * Parses a description.
     *
     * @throws MalformedMessageException with 400 if it is not a valid description, with 513 if it is too long
     */
    public static Sdp parse(String text) throws MalformedMessageException {
        if (text.length() > MAX_LENGTH) {
            throw new MalformedMessageException(513, "session description longer than " + MAX_LENGTH + " characters");
        }
        if (!text.startsWith("v=0")) {
            throw new MalformedMessageException(400, "session description does not begin with v=0");
        }
        try {
            SessionDescriptionImpl parsed =
                    new SDPAnnounceParser(text.replace("\r\n", "\n").replace("\n", "\r\n")).parse();
            double session = lowestKbit(parsed.getBandwidths(false));
            double audio = 0;
            double video = Double.NaN;
            int videoStreams = 0;
            Vector<?> descriptions = parsed.getMediaDescriptions(true);
            for (Object o : descriptions) {
                MediaDescriptionImpl media = (MediaDescriptionImpl) o;
                double kbit = lowestKbit(media.getBandwidths(false));
                if (media.getMedia().getMediaPort() == 0) {
                    continue;
                }
                if (media.getMedia().getMediaType().equals("video")) {
                    videoStreams++;
                    video = Double.isNaN(video)
                            ? kbit
                            : Double.isNaN(kbit) ? video : Math.max(video, kbit); // the largest is the main stream
                } else if (!Double.isNaN(kbit)) {
                    audio += kbit;
                }
            }
            double sessionRemainder = session - audio;
            double available = Double.isNaN(video)
                    ? sessionRemainder
                    : Double.isNaN(sessionRemainder) ? video : Math.min(video, sessionRemainder);
            return new Sdp(text, videoStreams > 0, available);
        } catch (SdpException | java.text.ParseException | RuntimeException e) {
            throw new MalformedMessageException(400, "malformed session description: " + e.getMessage());
        }
    }

    /** The lowest of the given bandwidths in kbit/s; NaN if there is none of a known type. */
    private static double lowestKbit(Vector<?> bandwidths) throws SdpException {
        double lowest = Double.NaN;
        for (Object o : bandwidths == null ? new Vector<>() : bandwidths) {
            BandWidth bandwidth = (BandWidth) o;
            double kbit = switch (bandwidth.getType()) {
                case "AS", "CT" -> bandwidth.getValue();
                case "TIAS" -> bandwidth.getValue() / 1000.0;
                default -> Double.NaN;
            };
            lowest = Double.isNaN(lowest) ? kbit : Double.isNaN(kbit) ? lowest : Math.min(lowest, kbit);
        }
        return lowest;
    }

    /**
     * The same description with this bandwidth for each video stream, as b=AS (rounded up) and b=TIAS. The lines follow
     * i= and c=, as RFC 8866 orders them (section 5).
     */
    public String withVideoRate(double videoKbitS) {
        StringBuilder out = new StringBuilder();
        boolean inVideo = false;
        boolean bandwidthWritten = true;
        for (String line : text.split("\r?\n")) {
            if (line.startsWith("m=")) {
                out.append(bandwidthWritten ? "" : bandwidthLines(videoKbitS));
                inVideo = line.startsWith("m=video");
                bandwidthWritten = !inVideo;
            } else if (inVideo && (line.startsWith("b=AS:") || line.startsWith("b=TIAS:"))) {
                continue;
            } else if (inVideo && !bandwidthWritten && !line.startsWith("i=") && !line.startsWith("c=")) {
                out.append(bandwidthLines(videoKbitS));
                bandwidthWritten = true;
            }
            if (!line.isEmpty()) {
                out.append(line).append("\r\n");
            }
        }
        return out.append(bandwidthWritten ? "" : bandwidthLines(videoKbitS)).toString();
    }

    private static String bandwidthLines(double kbitS) {
        return "b=AS:" + (long) Math.ceil(kbitS) + "\r\nb=TIAS:" + Math.round(kbitS * 1000) + "\r\n";
    }

    /** A minimal description of one H.264 video stream. */
    public static String of(String address, int port, long version, double kbitS) {
        return "v=0\r\no=- " + version + " " + version + " IN IP4 " + address + "\r\ns=-\r\nc=IN IP4 " + address
                + "\r\nt=0 0\r\nm=video " + port + " RTP/AVP 96\r\n" + bandwidthLines(kbitS)
                + "a=rtpmap:96 H264/90000\r\n";
    }
}
